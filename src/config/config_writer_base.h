/**
 * @file config_writer_base.h
 * Writes operators' changes to the store: one at a time for each document,
 * with a bounded queue.
 */
#ifndef WAXWING_CONFIG_CONFIG_WRITER_BASE_H
#define WAXWING_CONFIG_CONFIG_WRITER_BASE_H

#include "config/config_change_base.h"

#include <deque>
#include <map>

namespace waxwing {

/// Changes of one document that may wait, with the one under way.
constexpr std::size_t WaitingChanges = 64;

/// `(event, now) -> actions`, without I/O.
/// Invariants: the front of each queue is under way and the others have not
/// started; no queue is empty.
class ConfigWriter {
public:
  std::vector<ConfigAction> handle(ConfigEvent event, Time now);

  /// @return changes without answer
  std::size_t waitingCount() const;

private:
  using Actions = std::vector<ConfigAction>;
  using Queue = std::deque<ConfigChange>;
  using QueueRef = std::map<DocumentId, Queue>::iterator;

  void on(ConfigRequest &request, Time now, Actions &actions);
  void on(TextRead &read, Time now, Actions &actions);
  void on(TextWritten &written, Time now, Actions &actions);
  void on(ConfigTick &tick, Time now, Actions &actions);

  QueueRef findOperation(std::uint64_t operation);
  void take(QueueRef queue, std::optional<ConfigAction> action,
            Actions &actions);
  void expireWaiting(Queue &queue, Time now, Actions &actions);

  std::map<DocumentId, Queue> Queues;
  std::uint64_t NextOperation = 1;
};

} // namespace waxwing

#endif
