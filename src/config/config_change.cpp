/**
 * @file config_change.cpp
 * Steps of one change.
 */
#include "config/config_change_base.h"

#include <algorithm>
#include <fmt/format.h>

namespace waxwing {
namespace {

constexpr Duration RetryPeriod = milliseconds(100);

ConfigVerdict toVerdict(const absl::Status &status) {
  return status.code() == absl::StatusCode::kNotFound ? ConfigVerdict::NotFound
                                                      : ConfigVerdict::Invalid;
}

/// @return whether the history shows every change after @p base
bool reachesBack(const ConfigDocument &document, Revision rev, Revision base) {
  return base == rev ||
         std::ranges::any_of(document.History, [base](const ChangeRecord &it) {
           return it.Base == base;
         });
}

bool touches(const ChangeRecord &record, const ConfigRequest &request) {
  // A whole document replaces comments too, which no value shows.
  const bool isWhole =
      std::ranges::any_of(request.Commands, [](const ConfigCommand &command) {
        return commandPath(command).empty();
      });
  return isWhole ||
         std::ranges::any_of(record.Values, [&](const ValueChange &value) {
           return std::ranges::any_of(
               request.Commands, [&](const ConfigCommand &command) {
                 return isOverlapping(value.Path, commandPath(command));
               });
         });
}

std::string describe(const ChangeRecord &record) {
  return fmt::format("{} changed {} at {}", record.Who,
                     record.Values.empty() || record.Values[0].Path.empty()
                         ? std::string("the document")
                         : record.Values[0].Path,
                     record.WallTime);
}

/// Values for the history: few, or one that stands for everything. A change
/// that found its values in place is recorded too: its id must not execute
/// again once they have changed.
std::vector<ValueChange>
listTouched(const std::vector<ValueChange> &values,
            const std::vector<ConfigCommand> &commands) {
  if (values.size() > HistoryValues)
    return {{"", std::nullopt, std::nullopt}};
  if (!values.empty())
    return values;
  std::vector<ValueChange> touched;
  for (const ConfigCommand &command : commands)
    if (touched.size() < HistoryValues)
      touched.push_back({commandPath(command), "unchanged", "unchanged"});
  return touched;
}

} // namespace

ConfigChange::ConfigChange(ConfigRequest request)
    : Request(std::move(request)), Fingerprint(fingerprintOf(Request.Commands)),
      Base(Request.Base) {}

ConfigAction ConfigChange::start(std::uint64_t operation) {
  return read(operation);
}

ConfigAction ConfigChange::read(std::uint64_t operation) {
  Operation = operation;
  RetryAt.reset();
  return ReadText{operation, documentKey(Request.Document)};
}

ConfigAction ConfigChange::write(std::uint64_t operation) {
  Operation = operation;
  RetryAt.reset();
  return WriteText{operation, documentKey(Request.Document), Sent->Expected,
                   Sent->Text};
}

ConfigAction ConfigChange::answer(ConfigAnswer answer) {
  Operation = 0;
  return AnswerRequest{Request.Id, std::move(answer)};
}

ConfigAction ConfigChange::refuse(ConfigVerdict verdict, Revision rev,
                                  std::string message) {
  return answer({verdict, rev, std::move(message), {}, {}});
}

std::optional<ConfigAction> ConfigChange::onRead(const StoreGetResult &result,
                                                 std::uint64_t nextOperation,
                                                 Time now) {
  Operation = 0;
  if (result.Status != StoreStatus::Done) {
    RetryAt = now + RetryPeriod;
    return std::nullopt;
  }
  ConfigDocument document = splitDocument(result.Entry.Value);
  const Revision rev = result.Entry.Rev;
  if (auto action = findEarlier(document, rev))
    return action;
  if (Sent) {
    auto action = resolve(document, rev, nextOperation);
    if (action)
      return action;
  }
  return attempt(std::move(document), rev, nextOperation);
}

/// Answers when the store already holds this change.
std::optional<ConfigAction>
ConfigChange::findEarlier(const ConfigDocument &document, Revision rev) {
  const auto n = findChange(document, Request.Change);
  if (!n)
    return std::nullopt;
  const ChangeRecord &record = document.History[*n];
  if (record.Fingerprint != Fingerprint || record.Who != Request.Who)
    return refuse(ConfigVerdict::ReusedId, rev,
                  fmt::format("change id '{}' was used for another change; "
                              "draw a new one",
                              Request.Change));
  return answer({ConfigVerdict::Accepted,
                 revisionOf(document, *n, rev),
                 "",
                 {},
                 record.Values});
}

/// Decides on a write without answer; nothing when it had no effect and can
/// have none any more.
std::optional<ConfigAction>
ConfigChange::resolve(const ConfigDocument &document, Revision rev,
                      std::uint64_t nextOperation) {
  // The same write again is safe: at most one finds the expected revision.
  if (rev == Sent->Expected)
    return write(nextOperation);
  if (!reachesBack(document, rev, Sent->Expected))
    return refuse(ConfigVerdict::Unresolved, rev,
                  "the write got no answer, and the history no longer shows "
                  "whether it took effect; read the value");
  Sent.reset();
  return std::nullopt;
}

std::optional<ConfigAction>
ConfigChange::checkBase(const ConfigDocument &document, Revision rev) {
  if (!Base)
    Base = rev;
  if (*Base == rev)
    return std::nullopt;
  if (!reachesBack(document, rev, *Base))
    return refuse(
        ConfigVerdict::Conflict, rev,
        fmt::format("revision {} is not in the history, which ends before; "
                    "read revision {} and base the change on it",
                    Base->Value, rev.Value));
  const auto first =
      std::ranges::find(document.History, *Base, &ChangeRecord::Base);
  ConfigAnswer conflict{ConfigVerdict::Conflict, rev, "", {}, {}};
  std::copy_if(first, document.History.end(),
               std::back_inserter(conflict.Others),
               [this](const ChangeRecord &it) { return touches(it, Request); });
  if (conflict.Others.empty())
    return std::nullopt;
  conflict.Message =
      fmt::format("{} after revision {}; read revision {} and decide again",
                  describe(conflict.Others.back()), Base->Value, rev.Value);
  return answer(std::move(conflict));
}

ConfigAction ConfigChange::attempt(ConfigDocument document, Revision rev,
                                   std::uint64_t nextOperation) {
  if (rev == Revision(0) && !Request.MayCreate)
    return refuse(ConfigVerdict::NotFound, rev,
                  fmt::format("{} does not exist; an operator's token creates "
                              "it with `waxwingctl apply`",
                              documentKey(Request.Document)));
  if (auto action = checkBase(document, rev))
    return *std::move(action);
  auto change =
      makeDocumentChange(Request.Document, document.Body, Request.Commands);
  if (!change.ok())
    return refuse(toVerdict(change.status()), rev,
                  std::string(change.status().message()));
  if (Request.IsDryRun)
    return answer({ConfigVerdict::Valid, rev, "", {}, change->Values});
  document.Body = std::move(change->Body);
  document.History.push_back({Request.Change, Fingerprint, rev,
                              Request.WallTime, Request.Who,
                              listTouched(change->Values, Request.Commands)});
  Sent = SentWrite{rev, joinDocument(document), std::move(change->Values)};
  return write(nextOperation);
}

std::optional<ConfigAction>
ConfigChange::onWritten(const StorePutResult &result,
                        std::uint64_t nextOperation, Time now) {
  Operation = 0;
  switch (result.Status) {
  case StoreStatus::Done:
    return answer({ConfigVerdict::Accepted,
                   result.Rev,
                   "",
                   {},
                   std::move(Sent->Values),
                   std::move(Sent->Text)});
  case StoreStatus::Conflict:
    // Read back: an earlier copy of this write may be what came first.
    return read(nextOperation);
  case StoreStatus::Unanswered:
    RetryAt = now + RetryPeriod;
    return std::nullopt;
  }
  return std::nullopt;
}

std::optional<ConfigAction> ConfigChange::onTick(std::uint64_t nextOperation,
                                                 Time now) {
  if (now >= Request.Deadline) {
    if (Sent)
      return refuse(ConfigVerdict::Unresolved, Revision(0),
                    "the store did not answer the write, which may still take "
                    "effect; repeat with the same change id");
    return refuse(ConfigVerdict::Unavailable, Revision(0),
                  "the store does not answer; nothing was written; try again "
                  "once it does");
  }
  if (Operation == 0 && RetryAt && now >= *RetryAt)
    return read(nextOperation);
  return std::nullopt;
}

} // namespace waxwing
