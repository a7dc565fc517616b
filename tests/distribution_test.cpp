/**
 * @file distribution_test.cpp
 * Distribution of the store's changes through readers under loss, reordering,
 * repetition, gaps of the history and restarts: a replica never goes back, is
 * complete whenever it counts as fresh, and a VM whose reader is silent, behind
 * or cut off reads the store in time for the shortest bound.
 */
#include "distribution/change_history.h"
#include "distribution/feed_freshness.h"
#include "distribution/parent_choice.h"
#include "distribution/reader_plan.h"
#include "peers/peer_message_type.h"

#include <gtest/gtest.h>
#include <map>
#include <random>

namespace waxwing {
namespace {

constexpr Time Start{seconds(1000)};

/// State of all keys: value and revision.
using State = std::map<std::string, std::pair<std::string, std::uint64_t>>;

/// Store with one revision for each change.
struct ModelStore {
  State Keys;
  std::uint64_t Revision = 1;
  std::vector<platform::StoreChange> History;

  void change(std::mt19937 &random) {
    const std::string key = "k" + std::to_string(random() % 40);
    ++Revision;
    if (random() % 3 == 0 && Keys.contains(key)) {
      Keys.erase(key);
      History.push_back({key, std::nullopt, Revision});
    } else {
      const std::string value(random() % 900, 'v');
      Keys[key] = {value, Revision};
      History.push_back({key, value, Revision});
    }
  }
  ChangeBatch since(std::uint64_t revision) const {
    ChangeBatch batch{revision, Revision, {}};
    std::ranges::copy_if(History, std::back_inserter(batch.Changes),
                         [&](const platform::StoreChange &change) {
                           return change.Revision > revision;
                         });
    return batch;
  }
};

/// Replica that applies batches by the rules of StoreFeed.
struct Replica {
  State Keys;
  std::uint64_t Revision = 1;

  bool apply(const ChangeBatch &batch) {
    if (batch.Base > Revision)
      return false;
    if (batch.To <= Revision)
      return true;
    for (const platform::StoreChange &change : batch.Changes) {
      const auto known = Keys.find(change.Key);
      if (known != Keys.end() ? known->second.second >= change.Revision
                              : !change.Value || change.Revision <= Revision)
        continue;
      if (change.Value)
        Keys[change.Key] = {*change.Value, change.Revision};
      else
        Keys.erase(known);
    }
    Revision = batch.To;
    return true;
  }
};

TEST(ChangeHistory, ReplicasFollowUnderLossReorderingAndRepetition) {
  for (int seed = 1; seed <= 30; ++seed) {
    std::mt19937 random(seed);
    ModelStore store;
    ChangeHistory history;
    history.reset(store.Revision);
    std::uint64_t readerRevision = store.Revision;
    std::vector<Replica> replicas(5);
    std::vector<std::pair<std::size_t, ChangeBatch>> network;
    for (int step = 0; step < 2000; ++step) {
      for (std::uint64_t n = random() % 4; n > 0; --n)
        store.change(random);
      if (random() % 3 == 0) {
        for (const ChangeBatch &part : history.add(store.since(readerRevision)))
          for (std::size_t n = 0; n < replicas.size(); ++n)
            network.emplace_back(n, part);
        readerRevision = store.Revision;
      }
      // Hellos show which changes a replica lacks.
      const std::size_t asking = random() % replicas.size();
      if (random() % 4 == 0)
        if (const auto missing = history.since(replicas[asking].Revision))
          for (const ChangeBatch &part : *missing)
            network.emplace_back(asking, part);
      std::ranges::shuffle(network, random);
      while (network.size() > 40)
        network.pop_back(); // lost
      for (std::uint64_t n = random() % 8; n > 0 && !network.empty(); --n) {
        const auto [to, part] = network.back();
        if (random() % 8 != 0) // else it arrives once more later
          network.pop_back();
        const std::uint64_t before = replicas[to].Revision;
        replicas[to].apply(part);
        ASSERT_GE(replicas[to].Revision, before);
      }
      for (const Replica &replica : replicas)
        if (replica.Revision == store.Revision) {
          ASSERT_EQ(replica.Keys, store.Keys) << "seed " << seed;
        }
    }
    for (Replica &replica : replicas) {
      history.add(store.since(readerRevision));
      readerRevision = store.Revision;
      const auto missing = history.since(replica.Revision);
      if (!missing)
        continue; // its state is too old; it would read the store
      for (const ChangeBatch &part : *missing)
        replica.apply(part);
      EXPECT_EQ(replica.Keys, store.Keys);
    }
  }
}

/// A reader whose store history was dropped loads all keys and passes on the
/// difference.
TEST(ChangeHistory, DifferenceOfALoadTakesReplicasAlong) {
  std::mt19937 random(7);
  ModelStore store;
  Replica replica;
  ChangeHistory history;
  history.reset(store.Revision);
  const State before = store.Keys;
  const std::uint64_t base = store.Revision;
  for (int n = 0; n < 500; ++n)
    store.change(random);
  ChangeBatch difference{base, store.Revision, {}};
  for (const auto &[key, value] : store.Keys)
    difference.Changes.push_back({key, value.first, value.second});
  for (const auto &[key, value] : before)
    if (!store.Keys.contains(key))
      difference.Changes.push_back({key, std::nullopt, store.Revision});
  for (const ChangeBatch &part : history.add(difference))
    EXPECT_TRUE(replica.apply(part));
  EXPECT_EQ(replica.Keys, store.Keys);
}

TEST(ChangeHistory, ReplicasThatAreTooOldGetNothing) {
  ChangeHistory history;
  history.reset(100);
  EXPECT_FALSE(history.since(99).has_value());
  EXPECT_TRUE(history.since(100)->empty());
  history.add({100, 110, {{"k", "v", 105}}});
  EXPECT_EQ(history.since(100)->size(), 1U);
  EXPECT_FALSE(history.since(90).has_value());
  // Changes that do not follow the last ones replace the history.
  history.add({150, 160, {{"k", "w", 155}}});
  EXPECT_FALSE(history.since(110).has_value());
  EXPECT_EQ(history.since(150)->size(), 1U);
  // A change that does not fit into a datagram is not offered.
  history.add({160, 170, {{"k", std::string(2 * MaxBatchBytes, 'x'), 165}}});
  EXPECT_FALSE(history.since(160).has_value());
}

TEST(ChangeHistory, MemoryIsBounded) {
  ChangeHistory history;
  history.reset(1);
  for (std::uint64_t n = 1; n < 5000; ++n)
    history.add({n, n + 1, {{"k", std::string(1000, 'x'), n + 1}}});
  EXPECT_FALSE(history.since(1).has_value());
  EXPECT_LT(history.since(4900)->size(), 101U);
}

/// The shortest bound of the pages within which a change must be acted on.
constexpr Duration ShortestBound = seconds(2);
/// Delays besides FeedFreshness::maxAge(): periodic work, the random delay
/// before the first call, and the store's answer.
constexpr Duration OtherDelays = milliseconds(100 + 150 + 100);

TEST(FeedFreshness, StateIsReadInTimeWhateverTheReaderDoes) {
  for (int seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    FeedFreshness freshness(ShortestBound);
    Time lastComplete = Start; // the replica had everything up to then
    Time readerHeard = Start;
    bool isReaderCut = false;
    bool isLinkCut = false;
    for (Time now = Start; now < Start + seconds(60); now += milliseconds(50)) {
      if (random() % 40 == 0)
        isReaderCut = !isReaderCut;
      if (random() % 40 == 0)
        isLinkCut = !isLinkCut;
      if (!isReaderCut && random() % 8 == 0)
        readerHeard = now;
      const bool isComplete = random() % 3 != 0;
      if (!isLinkCut && random() % 8 == 0) {
        freshness.onReport(now - readerHeard, isComplete, now);
        if (isComplete)
          lastComplete = std::max(lastComplete, readerHeard);
      }
      if (freshness.isFresh(now)) {
        ASSERT_LE(now - lastComplete + OtherDelays, ShortestBound);
      }
    }
  }
}

TEST(FeedFreshness, LateReportDoesNotExtendFreshness) {
  FeedFreshness freshness(ShortestBound);
  freshness.onReport(milliseconds(100), true, Start);
  const Time end = Start - milliseconds(100) + freshness.maxAge();
  freshness.onReport(seconds(5), true, Start + milliseconds(500));
  EXPECT_TRUE(freshness.isFresh(end - milliseconds(1)));
  EXPECT_FALSE(freshness.isFresh(end));
  freshness.clear();
  EXPECT_FALSE(freshness.isFresh(Start));
}

std::vector<ReaderCandidate> createVms(int domains, int vmsPerDomain) {
  std::vector<ReaderCandidate> vms;
  for (int d = 0; d < domains; ++d)
    for (int n = 0; n < vmsPerDomain; ++n)
      vms.push_back({{VmId("vm" + std::to_string(d) + "-" + std::to_string(n)),
                      DomainId("d" + std::to_string(d)), n < 3 ? 0.5 : 0.1},
                     false,
                     true});
  return vms;
}

TEST(ReaderPlan, StrongVmsOfEachDomainRead) {
  const auto vms = createVms(6, 49);
  ReaderPlan plan;
  plan.update(vms);
  EXPECT_EQ(plan.size(), 12U);
  for (const ReaderCandidate &vm : vms) {
    if (plan.isReader(vm.Vm.Vm)) {
      EXPECT_EQ(vm.Vm.CpuCores, 0.5);
      EXPECT_FALSE(plan.readerFor(vm.Vm.Vm, vm.Vm.Domain));
      continue;
    }
    const auto reader = plan.readerFor(vm.Vm.Vm, vm.Vm.Domain);
    ASSERT_TRUE(reader);
    EXPECT_TRUE(reader->Value.starts_with("vm" + vm.Vm.Domain.Value.substr(1)));
  }
}

/// Readers and the messages at each grow with the VMs of a domain, not with
/// those of the fleet.
TEST(ReaderPlan, WorkOfAReaderIsBounded) {
  for (const int perDomain : {8, 50, 122}) {
    const auto vms = createVms(6, perDomain);
    ReaderPlan plan;
    plan.update(vms);
    std::map<VmId, int> followers;
    for (const ReaderCandidate &vm : vms)
      if (const auto reader = plan.readerFor(vm.Vm.Vm, vm.Vm.Domain))
        ++followers[*reader];
    for (const auto &[reader, count] : followers)
      EXPECT_LE(count, 64) << perDomain;
    EXPECT_LE(plan.size(), 6U * 4);
  }
}

TEST(ReaderPlan, ReadersStayUnlessTheyFail) {
  auto vms = createVms(1, 10);
  ReaderPlan plan;
  plan.update(vms);
  for (ReaderCandidate &vm : vms)
    vm.IsReader = plan.isReader(vm.Vm.Vm);
  vms.push_back({{VmId("stronger"), DomainId("d0"), 4}, false, true});
  plan.update(vms);
  EXPECT_FALSE(plan.isReader(VmId("stronger")));
  const auto failed = std::ranges::find_if(vms, &ReaderCandidate::IsReader);
  failed->IsFresh = false;
  plan.update(vms);
  EXPECT_FALSE(plan.isReader(failed->Vm.Vm));
  EXPECT_TRUE(plan.isReader(VmId("stronger")));
  EXPECT_EQ(plan.size(), 2U);
}

TEST(ReaderPlan, SmallDomainsReadForThemselves) {
  ReaderPlan plan;
  plan.update(createVms(4, 2));
  EXPECT_EQ(plan.size(), 0U);
  EXPECT_FALSE(plan.readerFor(VmId("vm0-0"), DomainId("d0")));
}

TEST(ParentChoice, SilentReaderIsGivenUpAndAvoided) {
  ParentChoice parent;
  const ReaderAssignment assignment{false, VmId("r"), {"10.0.0.1", 7}};
  EXPECT_TRUE(parent.assign(assignment, Start));
  EXPECT_FALSE(parent.assign(assignment, Start));
  parent.onReaderReply(Start + milliseconds(500));
  const Time silentAt =
      Start + milliseconds(500) + ParentChoice::ReaderSilenceTimeout;
  EXPECT_FALSE(parent.giveUpIfSilent(silentAt - milliseconds(1)));
  EXPECT_TRUE(parent.giveUpIfSilent(silentAt));
  EXPECT_FALSE(parent.hasReader());
  // The leader may not know yet that the reader is silent.
  EXPECT_FALSE(parent.assign(assignment, Start + seconds(2)));
  EXPECT_TRUE(
      parent.assign({false, VmId("s"), {"10.0.0.2", 7}}, Start + seconds(2)));
  EXPECT_TRUE(parent.assign(assignment, Start + seconds(20)));
}

TEST(ParentChoice, ReaderHasNoReader) {
  ParentChoice parent;
  parent.assign({true, VmId("other"), {}}, Start);
  EXPECT_TRUE(parent.isReader());
  EXPECT_FALSE(parent.hasReader());
  EXPECT_FALSE(parent.giveUpIfSilent(Start + seconds(100)));
  EXPECT_TRUE(parent.assign({}, Start));
  EXPECT_FALSE(parent.isReader());
}

TEST(PeerMessage, ReaderMessagesSurviveEncoding) {
  PeerHello hello;
  hello.Sender = {VmId("a"), DomainId("d"), 0.5};
  hello.StoreRevisions = {3, 1ULL << 40};
  hello.NewestChanges = {4, 1ULL << 41};
  hello.Report = ReaderReport{
      milliseconds(70), {{{VmId("b"), DomainId("d"), 0.1}, {"10.0.0.1", 7}}}};
  const auto decoded = decodePeerMessage(encodePeerMessage(hello));
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  const auto &copy = std::get<PeerHello>(*decoded);
  EXPECT_EQ(copy.StoreRevisions, hello.StoreRevisions);
  EXPECT_EQ(copy.NewestChanges, hello.NewestChanges);
  EXPECT_EQ(copy.Report->StoreAge, milliseconds(70));
  EXPECT_EQ(copy.Report->Followers, hello.Report->Followers);

  PeerReply reply;
  reply.Leader = {VmId("l"), {"10.0.0.2", 9}, 12};
  reply.Assignment = ReaderAssignment{false, VmId("r"), {"10.0.0.3", 8}};
  reply.NewestChanges = {6, 7};
  reply.Store = StoreReport{milliseconds(5), std::nullopt, {1, 2}};
  const auto second = decodePeerMessage(encodePeerMessage(reply));
  ASSERT_TRUE(second.ok()) << second.status();
  const auto &replyCopy = std::get<PeerReply>(*second);
  EXPECT_EQ(replyCopy.Leader.Address, reply.Leader.Address);
  EXPECT_EQ(replyCopy.Assignment->Reader, VmId("r"));
  EXPECT_FALSE(replyCopy.Store->RecoveredAge);
  EXPECT_EQ(replyCopy.NewestChanges, reply.NewestChanges);
  EXPECT_EQ(replyCopy.Store->Revisions, reply.Store->Revisions);

  const std::string binary("\0\xff\x80 bytes", 9);
  const PeerStoreUpdate update{FeedId::Upstreams,
                               {4, 6, {{"k", binary, 5}, {"gone", {}, 6}}}};
  const auto third = decodePeerMessage(encodePeerMessage(update));
  ASSERT_TRUE(third.ok()) << third.status();
  const auto &batch = std::get<PeerStoreUpdate>(*third).Batch;
  EXPECT_EQ(batch.Changes[0].Value, binary);
  EXPECT_EQ(batch.Changes[1].Value, std::nullopt);
}

TEST(PeerMessage, DatagramsCutOffOrAlteredAreRefusedOrDecoded) {
  const PeerStoreUpdate update{FeedId::Operators,
                               {4, 6, {{"op/config", "value", 5}}}};
  const std::string bytes = encodePeerMessage(update);
  for (std::size_t n = 0; n < bytes.size(); ++n)
    EXPECT_FALSE(decodePeerMessage(bytes.substr(0, n)).ok()) << n;
  std::mt19937 random(5);
  for (int n = 0; n < 20000; ++n) {
    std::string altered = bytes;
    altered[random() % altered.size()] = static_cast<char>(random());
    // Whatever is decoded can be encoded again.
    if (const auto message = decodePeerMessage(altered); message.ok()) {
      EXPECT_FALSE(encodePeerMessage(*message).empty());
    }
  }
}

} // namespace
} // namespace waxwing
