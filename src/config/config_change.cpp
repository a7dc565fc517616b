/**
 * @file config_change.cpp
 * Steps of applying one configuration change to its document in the store.
 */
#include "config/config_change_base.h"

#include <algorithm>
#include <fmt/format.h>

namespace waxwing {
namespace {

/// Delay between a store call that got no response and the next read.
constexpr Duration StoreRetryDelay = milliseconds(100);

ConfigOutcome outcomeOfError(const absl::Status &status) {
  return status.code() == absl::StatusCode::kNotFound ? ConfigOutcome::NotFound
                                                      : ConfigOutcome::Invalid;
}

/// @return whether the history holds every change made after revision @p base
bool historyCovers(const ConfigDocument &document, Revision rev,
                   Revision base) {
  return base == rev ||
         std::ranges::any_of(document.History, [base](const ChangeRecord &it) {
           return it.Base == base;
         });
}

/// @return whether the recorded change modified a value that the request
///   modifies too
bool conflictsWith(const ChangeRecord &record, const ConfigRequest &request) {
  // Replacing the whole document also replaces its comments, which are not
  // listed among the values of a record.
  const bool replacesDocument =
      std::ranges::any_of(request.Commands, [](const ConfigCommand &command) {
        return commandPath(command).empty();
      });
  return replacesDocument ||
         std::ranges::any_of(record.Values, [&](const ValueChange &value) {
           return std::ranges::any_of(
               request.Commands, [&](const ConfigCommand &command) {
                 return pathsOverlap(value.Path, commandPath(command));
               });
         });
}

/// @return author, first changed path and time, for the conflict message
std::string describeChange(const ChangeRecord &record) {
  return fmt::format("{} changed {} at {}", record.Author,
                     record.Values.empty() || record.Values[0].Path.empty()
                         ? std::string("the document")
                         : record.Values[0].Path,
                     record.WallTime);
}

/// @return the values to record in the history; a single empty path, meaning
///   the whole document, when there are more than MaxValuesPerRecord. A change
///   without effect is recorded with its paths, so that a repeated request with
///   its id is not executed after the values have changed.
std::vector<ValueChange>
valuesToRecord(const std::vector<ValueChange> &values,
               const std::vector<ConfigCommand> &commands) {
  if (values.size() > MaxValuesPerRecord)
    return {{"", std::nullopt, std::nullopt}};
  if (!values.empty())
    return values;
  std::vector<ValueChange> unchanged;
  for (const ConfigCommand &command : commands)
    if (unchanged.size() < MaxValuesPerRecord)
      unchanged.push_back({commandPath(command), "unchanged", "unchanged"});
  return unchanged;
}

} // namespace

ConfigChange::ConfigChange(ConfigRequest request)
    : Request(std::move(request)), Fingerprint(fingerprintOf(Request.Commands)),
      Base(Request.Base) {}

ConfigAction ConfigChange::start(std::uint64_t operation) {
  return startRead(operation);
}

ConfigAction ConfigChange::startRead(std::uint64_t operation) {
  Operation = operation;
  RetryAt.reset();
  return ReadDocument{operation, documentKey(Request.Document)};
}

ConfigAction ConfigChange::startWrite(std::uint64_t operation) {
  Operation = operation;
  RetryAt.reset();
  return WriteDocument{operation, documentKey(Request.Document),
                       Unconfirmed->Expected, Unconfirmed->Text};
}

ConfigAction ConfigChange::respond(ConfigResponse response) {
  Operation = 0;
  return CompleteRequest{Request.Id, std::move(response)};
}

ConfigAction ConfigChange::refuse(ConfigOutcome outcome, Revision rev,
                                  std::string message) {
  return respond({outcome, rev, std::move(message), {}, {}});
}

std::optional<ConfigAction> ConfigChange::onRead(const StoreGetResult &result,
                                                 std::uint64_t nextOperation,
                                                 Time now) {
  Operation = 0;
  if (result.Status != StoreStatus::Done) {
    RetryAt = now + StoreRetryDelay;
    return std::nullopt;
  }
  ConfigDocument document = splitDocument(result.Entry.Value);
  const Revision rev = result.Entry.Rev;
  if (auto action = findAppliedChange(document, rev))
    return action;
  if (Unconfirmed) {
    auto action = resolveUnconfirmedWrite(document, rev, nextOperation);
    if (action)
      return action;
  }
  return tryWrite(std::move(document), rev, nextOperation);
}

/// Completes the request when the history already contains its change id.
std::optional<ConfigAction>
ConfigChange::findAppliedChange(const ConfigDocument &document, Revision rev) {
  const auto n = findChangeRecord(document, Request.Change);
  if (!n)
    return std::nullopt;
  const ChangeRecord &record = document.History[*n];
  if (record.Fingerprint != Fingerprint || record.Author != Request.Author)
    return refuse(ConfigOutcome::ReusedId, rev,
                  fmt::format("change id '{}' was used for another change; "
                              "choose a new id",
                              Request.Change));
  return respond({ConfigOutcome::Accepted,
                  revisionOfRecord(document, *n, rev),
                  "",
                  {},
                  record.Values});
}

/// Handles an earlier write of this change that is not confirmed.
/// @return the next action; nothing when the write had no effect and can no
///   longer have one
std::optional<ConfigAction> ConfigChange::resolveUnconfirmedWrite(
    const ConfigDocument &document, Revision rev, std::uint64_t nextOperation) {
  // Repeating the write is safe: compare-and-swap lets at most one copy
  // succeed at the expected revision.
  if (rev == Unconfirmed->Expected)
    return startWrite(nextOperation);
  if (!historyCovers(document, rev, Unconfirmed->Expected))
    return refuse(
        ConfigOutcome::Unresolved, rev,
        "the store did not confirm the write, and the history no longer shows "
        "whether it took effect; read the value");
  Unconfirmed.reset();
  return std::nullopt;
}

/// Refuses the change when a newer one modified the same values.
std::optional<ConfigAction>
ConfigChange::checkBase(const ConfigDocument &document, Revision rev) {
  if (!Base)
    Base = rev;
  if (*Base == rev)
    return std::nullopt;
  if (!historyCovers(document, rev, *Base))
    return refuse(ConfigOutcome::Conflict, rev,
                  fmt::format("revision {} is not in the recorded history; "
                              "read revision {} and base the change on it",
                              Base->Value, rev.Value));
  const auto first =
      std::ranges::find(document.History, *Base, &ChangeRecord::Base);
  ConfigResponse conflict{ConfigOutcome::Conflict, rev, "", {}, {}};
  std::copy_if(
      first, document.History.end(),
      std::back_inserter(conflict.ConflictingChanges),
      [this](const ChangeRecord &it) { return conflictsWith(it, Request); });
  if (conflict.ConflictingChanges.empty())
    return std::nullopt;
  conflict.Message =
      fmt::format("{} after revision {}; read revision {} and decide again",
                  describeChange(conflict.ConflictingChanges.back()),
                  Base->Value, rev.Value);
  return respond(std::move(conflict));
}

/// Checks the request against the document just read and writes the result.
ConfigAction ConfigChange::tryWrite(ConfigDocument document, Revision rev,
                                    std::uint64_t nextOperation) {
  if (rev == Revision(0) && !Request.MayCreate)
    return refuse(
        ConfigOutcome::NotFound, rev,
        fmt::format("{} does not exist; only an operator's token can create "
                    "it with `waxwingctl apply`",
                    documentKey(Request.Document)));
  if (auto action = checkBase(document, rev))
    return *std::move(action);
  auto change =
      makeDocumentChange(Request.Document, document.Body, Request.Commands);
  if (!change.ok())
    return refuse(outcomeOfError(change.status()), rev,
                  std::string(change.status().message()));
  if (Request.IsDryRun)
    return respond({ConfigOutcome::Valid, rev, "", {}, change->Values});
  document.Body = std::move(change->Body);
  document.History.push_back(
      {Request.Change, Fingerprint, rev, Request.WallTime, Request.Author,
       valuesToRecord(change->Values, Request.Commands)});
  Unconfirmed =
      UnconfirmedWrite{rev, joinDocument(document), std::move(change->Values)};
  return startWrite(nextOperation);
}

std::optional<ConfigAction>
ConfigChange::onWritten(const StorePutResult &result,
                        std::uint64_t nextOperation, Time now) {
  Operation = 0;
  switch (result.Status) {
  case StoreStatus::Done:
    return respond({ConfigOutcome::Accepted,
                    result.Rev,
                    "",
                    {},
                    std::move(Unconfirmed->Values),
                    std::move(Unconfirmed->Text)});
  case StoreStatus::Conflict:
    // Read the document again: the conflicting write may be an earlier copy
    // of this one.
    return startRead(nextOperation);
  case StoreStatus::Unanswered:
    RetryAt = now + StoreRetryDelay;
    return std::nullopt;
  }
  return std::nullopt;
}

std::optional<ConfigAction> ConfigChange::onTick(std::uint64_t nextOperation,
                                                 Time now) {
  if (now >= Request.Deadline) {
    if (Unconfirmed)
      return refuse(ConfigOutcome::Unresolved, Revision(0),
                    "the store did not confirm the write, which may still take "
                    "effect; repeat with the same change id");
    return refuse(ConfigOutcome::Unavailable, Revision(0),
                  "the store is not responding; nothing was written; try again "
                  "when it is available");
  }
  if (Operation == 0 && RetryAt && now >= *RetryAt)
    return startRead(nextOperation);
  return std::nullopt;
}

} // namespace waxwing
