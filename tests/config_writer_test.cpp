/**
 * @file config_writer_test.cpp
 * Several writers race for one document in a store that is slow, loses
 * requests and answers, and lets writes land late. A map is the oracle:
 * what was accepted is never lost or reverted, what was refused leaves no
 * trace. Faults built into a writer on purpose must be caught.
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
constexpr Duration RequestTerm = seconds(5);
constexpr Duration TickStep = milliseconds(100);

/// A fault built in between a writer and its store.
enum class BuiltInFault : std::uint8_t {
  None,
  BlindRewrite,      ///< repeats an unanswered write on any revision
  NoRecheck,         ///< repeats a conflicting write on the new revision
  AcceptBeforeKnown, ///< takes an unanswered write for done
};

/// What happens next; the numbers choose among what is possible.
struct Step {
  std::uint8_t Kind = 0;
  std::uint8_t A = 0;
  std::uint8_t B = 0;
};

/// A call of a writer that the store has not answered.
struct PendingCall {
  std::size_t Writer = 0;
  std::variant<ReadText, WriteText> Call;
};

/// One request as a client sent it, perhaps with an id used before.
struct Sent {
  std::string Change;
  std::string Path;
  std::string Value;
  std::optional<Revision> Base;
  std::optional<ConfigVerdict> Verdict;
};

/// Writers, store and oracle of one run.
class Race {
public:
  explicit Race(BuiltInFault fault) : Fault(fault) {
    apply("[tier t0]\n[tier t1]\n[tier t2]\n");
    Log.clear();
  }

  void run(const Step &step) {
    switch (step.Kind % 12) {
    case 0:
    case 1:
    case 2:
      return request(step);
    case 3:
      return repeat(step);
    case 4:
      Now += TickStep * (step.A % 8);
      return tick();
    case 5:
      return landLate(step);
    default:
      return deliver(step);
    }
  }

  /// Lets everything end with a healthy store, then checks what remains.
  void finish() {
    for (int n = 0; n < 400 && !isQuiet(); ++n) {
      while (!Calls.empty())
        deliver({6, 0, 0});
      Now += TickStep;
      tick();
    }
    while (!Late.empty())
      landLate({});
    check(isQuiet(), "a request got no answer");
    std::map<std::string, bool> isKnown;
    for (const Sent &it : Requests) {
      const bool mayBeThere = it.Verdict == ConfigVerdict::Accepted ||
                              it.Verdict == ConfigVerdict::Unresolved;
      isKnown[it.Change] |= mayBeThere;
      if (it.Verdict == ConfigVerdict::Accepted)
        check(Applied.contains(it.Change), "an accepted change is lost");
    }
    for (const std::string &change : Applied)
      check(isKnown[change], "a refused change left a trace");
  }

  const std::string &violation() const { return Violation; }
  std::size_t acceptedCount() const {
    return static_cast<std::size_t>(
        std::ranges::count(Requests, ConfigVerdict::Accepted, &Sent::Verdict));
  }

private:
  void check(bool isRight, const std::string &message) {
    if (!isRight && Violation.empty())
      Violation = message;
  }

  bool isQuiet() const {
    return std::ranges::all_of(
        Requests, [](const Sent &it) { return it.Verdict.has_value(); });
  }

  void request(const Step &step) {
    Sent sent{"c" + std::to_string(Requests.size()),
              "tier/t" + std::to_string(step.A % 3) + "/weight",
              std::to_string(1 + step.B % 50), std::nullopt, std::nullopt};
    if (step.B % 3 == 0)
      sent.Base = Revision(Rev.Value -
                           std::min<std::uint64_t>(step.A % 4, Rev.Value - 1));
    send(step.B, std::move(sent));
  }

  void repeat(const Step &step) {
    if (Requests.empty())
      return;
    Sent sent = Requests[step.A % Requests.size()];
    sent.Verdict.reset();
    send(step.B, std::move(sent));
  }

  void send(std::size_t writer, Sent sent) {
    ConfigRequest request;
    request.Id = Requests.size();
    request.Document = {DocumentKind::Team, TeamId("t")};
    request.Who = "who";
    request.Change = sent.Change;
    request.Base = sent.Base;
    request.Commands = {
        SetValue{{"tier", sent.Path.substr(5, 2)}, "weight", sent.Value}};
    request.Deadline = Now + RequestTerm;
    Requests.push_back(std::move(sent));
    handle(writer % WriterCount, std::move(request));
  }

  void tick() {
    for (std::size_t n = 0; n < WriterCount; ++n)
      handle(n, ConfigTick());
  }

  void handle(std::size_t writer, ConfigEvent event) {
    for (ConfigAction &action : Writers[writer].handle(std::move(event), Now)) {
      if (const auto *answer = std::get_if<AnswerRequest>(&action))
        take(*answer);
      if (const auto *read = std::get_if<ReadText>(&action))
        Calls.push_back({writer, *read});
      if (const auto *write = std::get_if<WriteText>(&action))
        Calls.push_back({writer, *write});
    }
  }

  void take(const AnswerRequest &answer) {
    Sent &sent = Requests.at(answer.Request);
    check(!sent.Verdict, "a request was answered twice");
    sent.Verdict = answer.Answer.Verdict;
    if (sent.Verdict == ConfigVerdict::Accepted)
      check(Applied.contains(sent.Change), "accepted before it was stored");
  }

  /// Answers one call: in time, or lost on its way there or back.
  void deliver(const Step &step) {
    if (Calls.empty())
      return;
    const auto it = Calls.begin() + step.A % static_cast<int>(Calls.size());
    PendingCall call = std::move(*it);
    Calls.erase(it);
    const bool isLost = step.B % 4 == 1;
    const bool isLate = step.B % 8 == 2;
    const bool isAnswerLost = step.B % 4 == 3;
    if (const auto *read = std::get_if<ReadText>(&call.Call)) {
      StoreGetResult result{StoreStatus::Done, {"", Rev, Text}};
      if (isLost || isAnswerLost)
        result = {};
      return handle(call.Writer, TextRead{read->Operation, result});
    }
    const auto &write = std::get<WriteText>(call.Call);
    StorePutResult result;
    if (isLate)
      Late.push_back(write);
    else if (!isLost)
      result = compareAndSwap(write);
    if (isAnswerLost)
      result = {};
    answerWrite(call.Writer, write, result);
  }

  /// Passes the store's answer on, or what a faulty writer makes of it.
  void answerWrite(std::size_t writer, WriteText write, StorePutResult result) {
    const bool isUnanswered = result.Status == StoreStatus::Unanswered;
    const bool isRewritten =
        (Fault == BuiltInFault::BlindRewrite && isUnanswered) ||
        (Fault == BuiltInFault::NoRecheck &&
         result.Status == StoreStatus::Conflict);
    if (isRewritten) {
      write.Expected = Rev;
      result = compareAndSwap(write);
    }
    if (Fault == BuiltInFault::AcceptBeforeKnown && isUnanswered)
      result = {StoreStatus::Done, Rev};
    handle(writer, TextWritten{write.Operation, result});
  }

  void landLate(const Step &step) {
    if (Late.empty())
      return;
    const auto it = Late.begin() + step.A % static_cast<int>(Late.size());
    compareAndSwap(*it);
    Late.erase(it);
  }

  StorePutResult compareAndSwap(const WriteText &write) {
    if (write.Expected != Rev)
      return {StoreStatus::Conflict, Rev};
    apply(write.Text);
    return {StoreStatus::Done, Rev};
  }

  /// Stores a text and moves the oracle by the change that it brings.
  void apply(const std::string &text) {
    const Revision before = Rev;
    Text = text;
    Rev = Revision(Rev.Value + 1);
    const ConfigDocument document = splitDocument(text);
    if (!document.History.empty())
      applyToOracle(document.History.back().Change, before);
    const auto parsed = parseIni(document.Body, "t");
    check(parsed.ok(), "the stored text is faulty");
    std::map<std::string, std::string> values;
    for (const IniEntry &entry : parsed->Entries)
      values["tier/" + entry.Section.substr(5) + "/" + entry.Key] = entry.Value;
    check(values == Oracle, "an accepted change was reverted");
  }

  void applyToOracle(const std::string &change, Revision before) {
    check(Applied.insert(change).second, "a change took effect twice");
    const auto sent = std::ranges::find(Requests, change, &Sent::Change);
    if (sent == Requests.end())
      return check(false, "a change that nobody sent");
    for (const auto &[rev, path] : Log)
      check(!sent->Base || rev <= *sent->Base || path != sent->Path,
            "a change ignored a newer one of its path");
    Oracle[sent->Path] = sent->Value;
    Log.emplace_back(Revision(before.Value + 1), sent->Path);
  }

  BuiltInFault Fault;
  Time Now{};
  std::array<ConfigWriter, WriterCount> Writers;
  std::vector<PendingCall> Calls;
  std::vector<WriteText> Late; ///< writes that may land any time
  std::vector<Sent> Requests;
  Revision Rev;
  std::string Text;
  std::map<std::string, std::string> Oracle;
  std::set<std::string> Applied;
  std::vector<std::pair<Revision, std::string>> Log;
  std::string Violation;
};

std::vector<Step> makeSteps(std::uint32_t seed) {
  std::mt19937 random(seed);
  std::vector<Step> steps(60);
  for (Step &step : steps)
    step = {static_cast<std::uint8_t>(random()),
            static_cast<std::uint8_t>(random()),
            static_cast<std::uint8_t>(random())};
  return steps;
}

std::string violationOf(BuiltInFault fault, const std::vector<Step> &steps) {
  Race race(fault);
  for (const Step &step : steps)
    race.run(step);
  race.finish();
  return race.violation();
}

std::size_t countViolations(BuiltInFault fault) {
  std::size_t count = 0;
  for (std::uint32_t seed = 1; seed <= 300; ++seed)
    count += violationOf(fault, makeSteps(seed)).empty() ? 0 : 1;
  return count;
}

RC_GTEST_PROP(
    ConfigWriter, AcceptedStaysAndRefusedLeavesNoTrace,
    (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>
         &numbers)) {
  std::vector<Step> steps(numbers.size());
  std::ranges::transform(numbers, steps.begin(), [](const auto &it) {
    return Step{std::get<0>(it), std::get<1>(it), std::get<2>(it)};
  });
  RC_ASSERT(violationOf(BuiltInFault::None, steps) == "");
}

TEST(ConfigWriter, HoldsOverManyLongRaces) {
  std::size_t accepted = 0;
  for (std::uint32_t seed = 1; seed <= 3000; ++seed) {
    Race race(BuiltInFault::None);
    for (const Step &step : makeSteps(seed))
      race.run(step);
    race.finish();
    ASSERT_EQ(race.violation(), "") << "seed " << seed;
    accepted += race.acceptedCount();
  }
  // The races must not pass by refusing everything.
  EXPECT_GT(accepted, 3000U);
}

TEST(ConfigWriter, BlindRewriteIsCaught) {
  EXPECT_GT(countViolations(BuiltInFault::BlindRewrite), 0U);
}

TEST(ConfigWriter, MissingRecheckIsCaught) {
  EXPECT_GT(countViolations(BuiltInFault::NoRecheck), 0U);
}

TEST(ConfigWriter, EarlyAcceptanceIsCaught) {
  EXPECT_GT(countViolations(BuiltInFault::AcceptBeforeKnown), 0U);
}

/// Drives one writer by hand.
class SingleWriter : public testing::Test {
protected:
  ConfigRequest makeRequest(const std::string &change) {
    ConfigRequest request;
    request.Document = {DocumentKind::Team, TeamId("t")};
    request.Who = "anna";
    request.Change = change;
    request.Commands = {SetValue{{"tier", "p"}, "weight", "2"}};
    request.Deadline = Now + RequestTerm;
    return request;
  }
  template <class Action> Action take(ConfigEvent event) {
    auto actions = Writer.handle(std::move(event), Now);
    EXPECT_EQ(actions.size(), 1U);
    return std::get<Action>(actions.at(0));
  }
  TextRead read(std::uint64_t operation, Revision rev,
                const std::string &text) {
    return {operation, {StoreStatus::Done, {"/teams/t", rev, text}}};
  }

  Time Now{};
  ConfigWriter Writer;
};

TEST_F(SingleWriter, StoreThatIsDownGivesAClearAnswer) {
  const auto first = take<ReadText>(makeRequest("c"));
  EXPECT_TRUE(Writer.handle(TextRead{first.Operation, {}}, Now).empty());
  Now += RequestTerm;
  const auto answer = take<AnswerRequest>(ConfigTick());
  EXPECT_EQ(answer.Answer.Verdict, ConfigVerdict::Unavailable);
  EXPECT_NE(answer.Answer.Message.find("nothing was written"),
            std::string::npos);
}

TEST_F(SingleWriter, LostAnswerIsReadBack) {
  const auto first = take<ReadText>(makeRequest("c"));
  const auto write = take<WriteText>(
      read(first.Operation, Revision(4), "[tier p]\nweight = 1\n"));
  EXPECT_TRUE(Writer.handle(TextWritten{write.Operation, {}}, Now).empty());
  Now += seconds(1);
  const auto again = take<ReadText>(ConfigTick());
  const auto answer =
      take<AnswerRequest>(read(again.Operation, Revision(5), write.Text));
  EXPECT_EQ(answer.Answer.Verdict, ConfigVerdict::Accepted);
  EXPECT_EQ(answer.Answer.Rev, Revision(5));
}

TEST_F(SingleWriter, UnresolvedWriteIsSaidToBeSo) {
  const auto first = take<ReadText>(makeRequest("c"));
  const auto write = take<WriteText>(
      read(first.Operation, Revision(4), "[tier p]\nweight = 1\n"));
  Writer.handle(TextWritten{write.Operation, {}}, Now);
  Now += RequestTerm;
  EXPECT_EQ(take<AnswerRequest>(ConfigTick()).Answer.Verdict,
            ConfigVerdict::Unresolved);
}

TEST_F(SingleWriter, ConflictNamesWhoChangedWhat) {
  ConfigDocument document{{}, "[tier p]\nweight = 7\n"};
  document.History.push_back({"other",
                              "f",
                              Revision(4),
                              "noon",
                              "bert",
                              {{"tier/p/weight", "1", "7"}}});
  ConfigRequest request = makeRequest("c");
  request.Base = Revision(4);
  const auto first = take<ReadText>(std::move(request));
  const auto answer = take<AnswerRequest>(
      read(first.Operation, Revision(5), joinDocument(document)));
  EXPECT_EQ(answer.Answer.Verdict, ConfigVerdict::Conflict);
  EXPECT_EQ(answer.Answer.Message,
            "bert changed tier/p/weight at noon after revision 4; read "
            "revision 5 and decide again");
  ASSERT_EQ(answer.Answer.Others.size(), 1U);
}

TEST_F(SingleWriter, BaseBeforeTheHistoryIsRefused) {
  ConfigRequest request = makeRequest("c");
  request.Base = Revision(1);
  const auto first = take<ReadText>(std::move(request));
  EXPECT_EQ(take<AnswerRequest>(
                read(first.Operation, Revision(5), "[tier p]\nweight = 1\n"))
                .Answer.Verdict,
            ConfigVerdict::Conflict);
}

TEST_F(SingleWriter, ReusedIdOfAnotherChangeIsRefused) {
  ConfigDocument document{{}, "[tier p]\nweight = 7\n"};
  document.History.push_back(
      {"c", "other commands", Revision(4), "noon", "anna", {}});
  const auto first = take<ReadText>(makeRequest("c"));
  EXPECT_EQ(take<AnswerRequest>(
                read(first.Operation, Revision(5), joinDocument(document)))
                .Answer.Verdict,
            ConfigVerdict::ReusedId);
}

TEST_F(SingleWriter, QueueIsBounded) {
  for (std::size_t n = 0; n < WaitingChanges; ++n)
    Writer.handle(makeRequest("c" + std::to_string(n)), Now);
  EXPECT_EQ(take<AnswerRequest>(makeRequest("more")).Answer.Verdict,
            ConfigVerdict::Busy);
}

} // namespace
} // namespace waxwing
