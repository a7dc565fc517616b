/**
 * @file config_writer_base.h
 * Writes configuration changes to the store, one at a time for each document,
 * with a bounded queue.
 */
#ifndef WAXWING_CONFIG_CONFIG_WRITER_BASE_H
#define WAXWING_CONFIG_CONFIG_WRITER_BASE_H

#include "config/config_change_base.h"

#include <deque>
#include <map>

namespace waxwing {

/// Largest number of changes in the queue of one document, including the one in
/// progress.
constexpr std::size_t MaxPendingChanges = 64;

/// Turns events into actions, without performing I/O.
/// Invariants: in each queue the first change is in progress and the others
/// have not started; no queue is empty.
class ConfigWriter {
public:
  std::vector<ConfigAction> handle(ConfigEvent event, Time now);

  /// @return number of changes that are queued or in progress
  std::size_t pendingCount() const;

private:
  using Actions = std::vector<ConfigAction>;
  using Queue = std::deque<ConfigChange>;
  using QueueIterator = std::map<DocumentId, Queue>::iterator;

  void on(ConfigRequest &request, Time now, Actions &actions);
  void on(DocumentReadResult &read, Time now, Actions &actions);
  void on(DocumentWriteResult &written, Time now, Actions &actions);
  void on(ConfigTick &tick, Time now, Actions &actions);

  QueueIterator findOperation(std::uint64_t operation);
  void dispatch(QueueIterator queue, std::optional<ConfigAction> action,
                Actions &actions);
  void expireQueued(Queue &queue, Time now, Actions &actions);

  std::map<DocumentId, Queue> Queues;
  std::uint64_t NextOperation = 1;
};

} // namespace waxwing

#endif
