/**
 * @file config_writer.cpp
 * Queues of changes.
 */
#include "config/config_writer_base.h"

#include <algorithm>

namespace waxwing {

std::vector<ConfigAction> ConfigWriter::handle(ConfigEvent event, Time now) {
  Actions actions;
  std::visit([&](auto &it) { on(it, now, actions); }, event);
  return actions;
}

std::size_t ConfigWriter::waitingCount() const {
  std::size_t n = 0;
  for (const auto &[document, queue] : Queues)
    n += queue.size();
  return n;
}

void ConfigWriter::on(ConfigRequest &request, Time, Actions &actions) {
  Queue &queue = Queues[request.Document];
  if (queue.size() >= WaitingChanges) {
    actions.push_back(
        AnswerRequest{request.Id,
                      {ConfigVerdict::Busy,
                       Revision(0),
                       "too many changes wait; nothing was written; try again",
                       {},
                       {}}});
    return;
  }
  queue.emplace_back(std::move(request));
  if (queue.size() == 1)
    actions.push_back(queue.front().start(NextOperation++));
}

void ConfigWriter::on(TextRead &read, Time now, Actions &actions) {
  const QueueRef queue = findOperation(read.Operation);
  if (queue != Queues.end())
    take(queue, queue->second.front().onRead(read.Result, NextOperation++, now),
         actions);
}

void ConfigWriter::on(TextWritten &written, Time now, Actions &actions) {
  const QueueRef queue = findOperation(written.Operation);
  if (queue != Queues.end())
    take(queue,
         queue->second.front().onWritten(written.Result, NextOperation++, now),
         actions);
}

void ConfigWriter::on(ConfigTick &, Time now, Actions &actions) {
  for (auto it = Queues.begin(); it != Queues.end();) {
    const QueueRef queue = it++;
    expireWaiting(queue->second, now, actions);
    take(queue, queue->second.front().onTick(NextOperation++, now), actions);
  }
}

/// @return the queue whose front waits for @p operation, or end()
ConfigWriter::QueueRef ConfigWriter::findOperation(std::uint64_t operation) {
  return std::ranges::find_if(Queues, [operation](const auto &entry) {
    return entry.second.front().operation() == operation;
  });
}

/// Carries out a step of the front; its answer starts the next change.
void ConfigWriter::take(QueueRef queue, std::optional<ConfigAction> action,
                        Actions &actions) {
  if (!action)
    return;
  const bool isAnswer = std::holds_alternative<AnswerRequest>(*action);
  actions.push_back(*std::move(action));
  if (!isAnswer)
    return;
  queue->second.pop_front();
  if (queue->second.empty())
    Queues.erase(queue);
  else
    actions.push_back(queue->second.front().start(NextOperation++));
}

/// Answers changes whose deadline passed before they started.
void ConfigWriter::expireWaiting(Queue &queue, Time now, Actions &actions) {
  for (std::size_t n = queue.size() - 1; n > 0; --n) {
    if (now < queue[n].request().Deadline)
      continue;
    if (auto action = queue[n].onTick(0, now))
      actions.push_back(*std::move(action));
    queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(n));
  }
}

} // namespace waxwing
