/**
 * @file config_writer_test.cpp
 * Concurrent writers change one document in a simulated store that is slow,
 * loses requests and responses, and executes some writes late. A map is the
 * reference: accepted changes must not be lost or reverted, and refused changes
 * must have no effect. Faults injected between writer and store must be
 * detected, which shows that the checks work.
 */
#include "config/config_writer_base.h"
#include "settings/ini_func.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

namespace waxwing {
namespace {

constexpr std::size_t WriterCount = 3;
constexpr Duration RequestTimeout = seconds(5);
constexpr Duration TickStep = milliseconds(100);

/// Fault injected between a writer and its store.
enum class InjectedFault : std::uint8_t {
  None,
  RetryOnAnyRevision, ///< retries a lost write at the current revision
  RetryAfterConflict, ///< retries a conflicting write at the new revision
  AcceptUnanswered,   ///< reports a lost write as successful
};

/// One random step of a simulation; Kind selects the operation, A and B its
/// parameters.
struct SimulationStep {
  std::uint8_t Kind = 0;
  std::uint8_t A = 0;
  std::uint8_t B = 0;
};

/// A writer's store call that is still in progress.
struct PendingStoreCall {
  std::size_t Writer = 0;
  std::variant<ReadDocument, WriteDocument> Call;
};

/// A client's request; its change id may repeat that of an earlier request.
struct SentRequest {
  std::string Change;
  std::string Path;
  std::string Value;
  std::optional<Revision> Base;
  std::optional<ConfigOutcome> Outcome;
};

/// Simulates writers, a store and the reference map for one run.
class WriterSimulation {
public:
  explicit WriterSimulation(InjectedFault fault) : Fault(fault) {
    apply("[tier t0]\n[tier t1]\n[tier t2]\n");
    AppliedRevisions.clear();
  }

  void run(const SimulationStep &step) {
    switch (step.Kind % 12) {
    case 0:
    case 1:
    case 2:
      return sendNewRequest(step);
    case 3:
      return resendRequest(step);
    case 4:
      Now += TickStep * (step.A % 8);
      return tick();
    case 5:
      return applyDelayedWrite(step);
    default:
      return completeCall(step);
    }
  }

  /// Completes all requests with a store that works, then checks the result.
  void finish() {
    for (int n = 0; n < 400 && !isEveryRequestAnswered(); ++n) {
      while (!PendingStoreCalls.empty())
        completeCall({6, 0, 0});
      Now += TickStep;
      tick();
    }
    while (!DelayedWrites.empty())
      applyDelayedWrite({});
    check(isEveryRequestAnswered(), "a request got no response");
    std::map<std::string, bool> mayBeStored;
    for (const SentRequest &it : Requests) {
      const bool mayHaveEffect = it.Outcome == ConfigOutcome::Accepted ||
                                 it.Outcome == ConfigOutcome::Unresolved;
      mayBeStored[it.Change] |= mayHaveEffect;
      if (it.Outcome == ConfigOutcome::Accepted)
        check(AppliedChanges.contains(it.Change),
              "an accepted change was lost");
    }
    for (const std::string &change : AppliedChanges)
      check(mayBeStored[change], "a refused change took effect");
  }

  const std::string &violation() const { return Violation; }
  std::size_t acceptedCount() const {
    return static_cast<std::size_t>(std::ranges::count(
        Requests, ConfigOutcome::Accepted, &SentRequest::Outcome));
  }

private:
  void check(bool condition, const std::string &message) {
    if (!condition && Violation.empty())
      Violation = message;
  }

  bool isEveryRequestAnswered() const {
    return std::ranges::all_of(
        Requests, [](const SentRequest &it) { return it.Outcome.has_value(); });
  }

  void sendNewRequest(const SimulationStep &step) {
    SentRequest sent{"c" + std::to_string(Requests.size()),
                     "tier/t" + std::to_string(step.A % 3) + "/weight",
                     std::to_string(1 + step.B % 50), std::nullopt,
                     std::nullopt};
    if (step.B % 3 == 0)
      sent.Base = Revision(Rev.Value -
                           std::min<std::uint64_t>(step.A % 4, Rev.Value - 1));
    send(step.B, std::move(sent));
  }

  void resendRequest(const SimulationStep &step) {
    if (Requests.empty())
      return;
    SentRequest sent = Requests[step.A % Requests.size()];
    sent.Outcome.reset();
    send(step.B, std::move(sent));
  }

  void send(std::size_t writer, SentRequest sent) {
    ConfigRequest request;
    request.Id = Requests.size();
    request.Document = {DocumentKind::Team, TeamId("t")};
    request.Author = "who";
    request.Change = sent.Change;
    request.Base = sent.Base;
    request.Commands = {
        SetValue{{"tier", sent.Path.substr(5, 2)}, "weight", sent.Value}};
    request.Deadline = Now + RequestTimeout;
    Requests.push_back(std::move(sent));
    handle(writer % WriterCount, std::move(request));
  }

  void tick() {
    for (std::size_t n = 0; n < WriterCount; ++n)
      handle(n, ConfigTick());
  }

  void handle(std::size_t writer, ConfigEvent event) {
    for (ConfigAction &action : Writers[writer].handle(std::move(event), Now)) {
      if (const auto *response = std::get_if<CompleteRequest>(&action))
        recordResponse(*response);
      if (const auto *read = std::get_if<ReadDocument>(&action))
        PendingStoreCalls.push_back({writer, *read});
      if (const auto *write = std::get_if<WriteDocument>(&action))
        PendingStoreCalls.push_back({writer, *write});
    }
  }

  void recordResponse(const CompleteRequest &response) {
    SentRequest &sent = Requests.at(response.RequestId);
    check(!sent.Outcome, "a request got two responses");
    sent.Outcome = response.Response.Outcome;
    if (sent.Outcome == ConfigOutcome::Accepted)
      check(AppliedChanges.contains(sent.Change),
            "a change was accepted before it was stored");
  }

  /// Completes one store call; its request or response may be lost, or its
  /// write delayed.
  void completeCall(const SimulationStep &step) {
    if (PendingStoreCalls.empty())
      return;
    const auto it = PendingStoreCalls.begin() +
                    step.A % static_cast<int>(PendingStoreCalls.size());
    PendingStoreCall call = std::move(*it);
    PendingStoreCalls.erase(it);
    const bool isLost = step.B % 4 == 1;
    const bool isLate = step.B % 8 == 2;
    const bool isResponseLost = step.B % 4 == 3;
    if (const auto *read = std::get_if<ReadDocument>(&call.Call)) {
      StoreGetResult result{StoreStatus::Done, {"", Rev, Text}};
      if (isLost || isResponseLost)
        result = {};
      return handle(call.Writer, DocumentReadResult{read->Operation, result});
    }
    const auto &write = std::get<WriteDocument>(call.Call);
    StorePutResult result;
    if (isLate)
      DelayedWrites.push_back(write);
    else if (!isLost)
      result = compareAndSwap(write);
    if (isResponseLost)
      result = {};
    completeWrite(call.Writer, write, result);
  }

  /// Passes the store's result to the writer, changed by the injected fault.
  void completeWrite(std::size_t writer, WriteDocument write,
                     StorePutResult result) {
    const bool isWithoutResponse = result.Status == StoreStatus::Unanswered;
    const bool isRetriedBlindly =
        (Fault == InjectedFault::RetryOnAnyRevision && isWithoutResponse) ||
        (Fault == InjectedFault::RetryAfterConflict &&
         result.Status == StoreStatus::Conflict);
    if (isRetriedBlindly) {
      write.Expected = Rev;
      result = compareAndSwap(write);
    }
    if (Fault == InjectedFault::AcceptUnanswered && isWithoutResponse)
      result = {StoreStatus::Done, Rev};
    handle(writer, DocumentWriteResult{write.Operation, result});
  }

  void applyDelayedWrite(const SimulationStep &step) {
    if (DelayedWrites.empty())
      return;
    const auto it =
        DelayedWrites.begin() + step.A % static_cast<int>(DelayedWrites.size());
    compareAndSwap(*it);
    DelayedWrites.erase(it);
  }

  StorePutResult compareAndSwap(const WriteDocument &write) {
    if (write.Expected != Rev)
      return {StoreStatus::Conflict, Rev};
    apply(write.Text);
    return {StoreStatus::Done, Rev};
  }

  /// Stores a text, applies its newest change to the reference map and compares
  /// both.
  void apply(const std::string &text) {
    const Revision before = Rev;
    Text = text;
    Rev = Revision(Rev.Value + 1);
    const ConfigDocument document = splitDocument(text);
    if (!document.History.empty())
      applyToReference(document.History.back().Change, before);
    const auto parsed = parseIni(document.Body, "t");
    check(parsed.ok(), "the stored text is invalid");
    std::map<std::string, std::string> values;
    for (const IniEntry &entry : parsed->Entries)
      values["tier/" + entry.Section.substr(5) + "/" + entry.Key] = entry.Value;
    check(values == Reference, "an accepted change was reverted");
  }

  void applyToReference(const std::string &change, Revision before) {
    check(AppliedChanges.insert(change).second, "a change took effect twice");
    const auto sent = std::ranges::find(Requests, change, &SentRequest::Change);
    if (sent == Requests.end())
      return check(false, "a change was stored that no client sent");
    for (const auto &[rev, path] : AppliedRevisions)
      check(!sent->Base || rev <= *sent->Base || path != sent->Path,
            "a change overwrote a newer change of its path");
    Reference[sent->Path] = sent->Value;
    AppliedRevisions.emplace_back(Revision(before.Value + 1), sent->Path);
  }

  InjectedFault Fault;
  Time Now{};
  std::array<ConfigWriter, WriterCount> Writers;
  std::vector<PendingStoreCall> PendingStoreCalls;
  /// Writes that the store executes at a later step.
  std::vector<WriteDocument> DelayedWrites;
  std::vector<SentRequest> Requests;
  Revision Rev;
  std::string Text;
  /// Values by path that the stored text must contain.
  std::map<std::string, std::string> Reference;
  std::set<std::string> AppliedChanges; ///< ids of stored changes
  /// For each stored change, the revision that it created and its path.
  std::vector<std::pair<Revision, std::string>> AppliedRevisions;
  std::string Violation; ///< first failed check, "" for none
};

std::vector<SimulationStep> makeSteps(std::uint32_t seed) {
  std::mt19937 random(seed);
  std::vector<SimulationStep> steps(60);
  for (SimulationStep &step : steps)
    step = {static_cast<std::uint8_t>(random()),
            static_cast<std::uint8_t>(random()),
            static_cast<std::uint8_t>(random())};
  return steps;
}

std::string violationOf(InjectedFault fault,
                        const std::vector<SimulationStep> &steps) {
  WriterSimulation simulation(fault);
  for (const SimulationStep &step : steps)
    simulation.run(step);
  simulation.finish();
  return simulation.violation();
}

std::size_t countViolations(InjectedFault fault) {
  std::size_t count = 0;
  for (std::uint32_t seed = 1; seed <= 300; ++seed)
    count += violationOf(fault, makeSteps(seed)).empty() ? 0 : 1;
  return count;
}

RC_GTEST_PROP(
    ConfigWriter, RandomStepsKeepAcceptedChangesOnly,
    (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>
         &numbers)) {
  std::vector<SimulationStep> steps(numbers.size());
  std::ranges::transform(numbers, steps.begin(), [](const auto &it) {
    return SimulationStep{std::get<0>(it), std::get<1>(it), std::get<2>(it)};
  });
  RC_ASSERT(violationOf(InjectedFault::None, steps) == "");
}

TEST(ConfigWriter, ManySimulationsKeepAcceptedChangesOnly) {
  std::size_t accepted = 0;
  for (std::uint32_t seed = 1; seed <= 3000; ++seed) {
    WriterSimulation simulation(InjectedFault::None);
    for (const SimulationStep &step : makeSteps(seed))
      simulation.run(step);
    simulation.finish();
    ASSERT_EQ(simulation.violation(), "") << "seed " << seed;
    accepted += simulation.acceptedCount();
  }
  // Guards against a writer that passes by refusing every request.
  EXPECT_GT(accepted, 3000U);
}

TEST(ConfigWriter, RetryOnAnyRevisionIsDetected) {
  EXPECT_GT(countViolations(InjectedFault::RetryOnAnyRevision), 0U);
}

TEST(ConfigWriter, RetryAfterConflictIsDetected) {
  EXPECT_GT(countViolations(InjectedFault::RetryAfterConflict), 0U);
}

TEST(ConfigWriter, AcceptanceOfLostWriteIsDetected) {
  EXPECT_GT(countViolations(InjectedFault::AcceptUnanswered), 0U);
}

/// Tests a single writer with explicit events.
class SingleWriter : public testing::Test {
protected:
  ConfigRequest makeRequest(const std::string &change) {
    ConfigRequest request;
    request.Document = {DocumentKind::Team, TeamId("t")};
    request.Author = "anna";
    request.Change = change;
    request.Commands = {SetValue{{"tier", "p"}, "weight", "2"}};
    request.Deadline = Now + RequestTimeout;
    return request;
  }
  template <class Action> Action handleOne(ConfigEvent event) {
    auto actions = Writer.handle(std::move(event), Now);
    EXPECT_EQ(actions.size(), 1U);
    return std::get<Action>(actions.at(0));
  }
  DocumentReadResult read(std::uint64_t operation, Revision rev,
                          const std::string &text) {
    return {operation, {StoreStatus::Done, {"/teams/t", rev, text}}};
  }

  Time Now{};
  ConfigWriter Writer;
};

TEST_F(SingleWriter, UnavailableStoreIsReported) {
  const auto first = handleOne<ReadDocument>(makeRequest("c"));
  EXPECT_TRUE(
      Writer.handle(DocumentReadResult{first.Operation, {}}, Now).empty());
  Now += RequestTimeout;
  const auto response = handleOne<CompleteRequest>(ConfigTick());
  EXPECT_EQ(response.Response.Outcome, ConfigOutcome::Unavailable);
  EXPECT_NE(response.Response.Message.find("nothing was written"),
            std::string::npos);
}

TEST_F(SingleWriter, LostWriteResponseIsResolvedByRead) {
  const auto first = handleOne<ReadDocument>(makeRequest("c"));
  const auto write = handleOne<WriteDocument>(
      read(first.Operation, Revision(4), "[tier p]\nweight = 1\n"));
  EXPECT_TRUE(
      Writer.handle(DocumentWriteResult{write.Operation, {}}, Now).empty());
  Now += seconds(1);
  const auto again = handleOne<ReadDocument>(ConfigTick());
  const auto response = handleOne<CompleteRequest>(
      read(again.Operation, Revision(5), write.Text));
  EXPECT_EQ(response.Response.Outcome, ConfigOutcome::Accepted);
  EXPECT_EQ(response.Response.Rev, Revision(5));
}

TEST_F(SingleWriter, WriteWithUnknownResultIsReported) {
  const auto first = handleOne<ReadDocument>(makeRequest("c"));
  const auto write = handleOne<WriteDocument>(
      read(first.Operation, Revision(4), "[tier p]\nweight = 1\n"));
  Writer.handle(DocumentWriteResult{write.Operation, {}}, Now);
  Now += RequestTimeout;
  EXPECT_EQ(handleOne<CompleteRequest>(ConfigTick()).Response.Outcome,
            ConfigOutcome::Unresolved);
}

TEST_F(SingleWriter, ConflictNamesAuthorAndPath) {
  ConfigDocument document{{}, "[tier p]\nweight = 7\n"};
  document.History.push_back({"other",
                              "f",
                              Revision(4),
                              "noon",
                              "bert",
                              {{"tier/p/weight", "1", "7"}}});
  ConfigRequest request = makeRequest("c");
  request.Base = Revision(4);
  const auto first = handleOne<ReadDocument>(std::move(request));
  const auto response = handleOne<CompleteRequest>(
      read(first.Operation, Revision(5), joinDocument(document)));
  EXPECT_EQ(response.Response.Outcome, ConfigOutcome::Conflict);
  EXPECT_EQ(response.Response.Message,
            "bert changed tier/p/weight at noon after revision 4; read "
            "revision 5 and decide again");
  ASSERT_EQ(response.Response.ConflictingChanges.size(), 1U);
}

TEST_F(SingleWriter, BaseOlderThanHistoryIsRefused) {
  ConfigRequest request = makeRequest("c");
  request.Base = Revision(1);
  const auto first = handleOne<ReadDocument>(std::move(request));
  EXPECT_EQ(handleOne<CompleteRequest>(
                read(first.Operation, Revision(5), "[tier p]\nweight = 1\n"))
                .Response.Outcome,
            ConfigOutcome::Conflict);
}

TEST_F(SingleWriter, ChangeIdOfAnotherChangeIsRefused) {
  ConfigDocument document{{}, "[tier p]\nweight = 7\n"};
  document.History.push_back(
      {"c", "other commands", Revision(4), "noon", "anna", {}});
  const auto first = handleOne<ReadDocument>(makeRequest("c"));
  EXPECT_EQ(handleOne<CompleteRequest>(
                read(first.Operation, Revision(5), joinDocument(document)))
                .Response.Outcome,
            ConfigOutcome::ReusedId);
}

TEST_F(SingleWriter, QueueIsBounded) {
  for (std::size_t n = 0; n < MaxPendingChanges; ++n)
    Writer.handle(makeRequest("c" + std::to_string(n)), Now);
  EXPECT_EQ(handleOne<CompleteRequest>(makeRequest("more")).Response.Outcome,
            ConfigOutcome::Busy);
}

} // namespace
} // namespace waxwing
