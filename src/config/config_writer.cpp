/**
 * @file config_writer.cpp
 * Queues of configuration changes, one for each document.
 */
#include "config/config_writer_base.h"

#include <algorithm>

namespace waxwing {

std::vector<ConfigAction> ConfigWriter::handle(ConfigEvent event, Time now) {
  Actions actions;
  std::visit([&](auto &it) { on(it, now, actions); }, event);
  return actions;
}

std::size_t ConfigWriter::pendingCount() const {
  std::size_t n = 0;
  for (const auto &[document, queue] : Queues)
    n += queue.size();
  return n;
}

void ConfigWriter::on(ConfigRequest &request, Time, Actions &actions) {
  Queue &queue = Queues[request.Document];
  if (queue.size() >= MaxPendingChanges) {
    actions.push_back(CompleteRequest{
        request.Id,
        {ConfigOutcome::Busy,
         Revision(0),
         "too many changes are queued; nothing was written; try again",
         {},
         {}}});
    return;
  }
  queue.emplace_back(std::move(request));
  if (queue.size() == 1)
    actions.push_back(queue.front().start(NextOperation++));
}

void ConfigWriter::on(DocumentReadResult &read, Time now, Actions &actions) {
  const QueueIterator queue = findOperation(read.Operation);
  if (queue != Queues.end())
    dispatch(queue,
             queue->second.front().onRead(read.Result, NextOperation++, now),
             actions);
}

void ConfigWriter::on(DocumentWriteResult &written, Time now,
                      Actions &actions) {
  const QueueIterator queue = findOperation(written.Operation);
  if (queue != Queues.end())
    dispatch(
        queue,
        queue->second.front().onWritten(written.Result, NextOperation++, now),
        actions);
}

void ConfigWriter::on(ConfigTick &, Time now, Actions &actions) {
  for (auto it = Queues.begin(); it != Queues.end();) {
    const QueueIterator queue = it++;
    expireQueued(queue->second, now, actions);
    dispatch(queue, queue->second.front().onTick(NextOperation++, now),
             actions);
  }
}

/// @return the queue whose first change waits for store call @p operation, or
///   end()
ConfigWriter::QueueIterator
ConfigWriter::findOperation(std::uint64_t operation) {
  return std::ranges::find_if(Queues, [operation](const auto &entry) {
    return entry.second.front().operation() == operation;
  });
}

/// Emits an action of the first change in @p queue. When it completes the
/// change, removes the change and starts the next one.
void ConfigWriter::dispatch(QueueIterator queue,
                            std::optional<ConfigAction> action,
                            Actions &actions) {
  if (!action)
    return;
  const bool isCompleted = std::holds_alternative<CompleteRequest>(*action);
  actions.push_back(*std::move(action));
  if (!isCompleted)
    return;
  queue->second.pop_front();
  if (queue->second.empty())
    Queues.erase(queue);
  else
    actions.push_back(queue->second.front().start(NextOperation++));
}

/// Completes queued changes whose deadline passed before they started.
void ConfigWriter::expireQueued(Queue &queue, Time now, Actions &actions) {
  for (std::size_t n = queue.size() - 1; n > 0; --n) {
    if (now < queue[n].request().Deadline)
      continue;
    if (auto action = queue[n].onTick(0, now))
      actions.push_back(*std::move(action));
    queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(n));
  }
}

} // namespace waxwing
