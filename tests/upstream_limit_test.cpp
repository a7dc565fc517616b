/**
 * @file upstream_limit_test.cpp
 * How the limit that an upstream named is divided among hundreds of VMs, and
 * what it changes in the choice of upstreams and the division of keys.
 */
#include "headers.h"
#include "ranges/range_balance_func.h"
#include "routing/limit_permits.h"
#include "routing/upstream_table.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <random>

namespace waxwing {
namespace {

const UpstreamProcess Limited{UpstreamId("i-1"), 1000};

Time at(int ms) { return Time(seconds(100) + milliseconds(ms)); }

/// VMs whose callers' requests all go to one limited upstream.
class PermitFleet {
public:
  PermitFleet(int count, double limit, std::uint64_t seed)
      : Random(seed), Limit(limit) {
    for (int n = 0; n < count; ++n) {
      All.emplace_back("vm" + std::to_string(n));
      Vms.push_back({PermitHolder(All.back()), {}, {}});
    }
    for (Vm &vm : Vms)
      vm.List = All;
  }

  /// Lets @p rate requests a second arrive at random VMs for @p duration.
  void run(Duration duration, double rate) {
    std::poisson_distribution<> arrivals(
        rate * std::chrono::duration<double>(Step).count());
    std::uniform_int_distribution<std::size_t> anyVm(0, Vms.size() - 1);
    for (const Time end = Now + duration; Now < end; Now += Step) {
      deliver();
      for (int n = arrivals(Random); n > 0; --n, ++Requests)
        Waiting.push_back({anyVm(Random), Now + MaxWait});
      std::erase_if(Waiting, [this](const WaitingRequest &request) {
        return trySend(request.Vm) || Now >= request.Until;
      });
    }
  }
  /// The VM in charge does not answer from now on.
  void loseVmInCharge() { Lost = inCharge(All); }
  /// Half of the VMs learn that the VM in charge is gone, which still answers
  /// the others.
  void replaceList() {
    const VmId former = inCharge(All);
    std::erase(All, former);
    for (std::size_t n = 0; n < Vms.size(); n += 2)
      Vms[n].List = All;
  }
  void shareList() {
    for (Vm &vm : Vms)
      vm.List = All;
  }

  int sentCount() const { return static_cast<int>(SentAt.size()); }
  int requestCount() const { return Requests; }
  /// @return most requests that reached the upstream in any LimitWindow
  int busiestWindow() const {
    int most = 0;
    for (auto first = SentAt.begin(); first != SentAt.end(); ++first)
      most =
          std::max(most, static_cast<int>(std::distance(
                             first, std::lower_bound(first, SentAt.end(),
                                                     *first + LimitWindow))));
    return most;
  }
  int allowed() const { return static_cast<int>(1.5 * 4 * Limit + 5); }

private:
  static constexpr Duration Step = milliseconds(5);
  static constexpr Duration Travel = milliseconds(2);
  /// Longest time that a request waits for a permit.
  static constexpr Duration MaxWait = milliseconds(300);

  struct WaitingRequest {
    std::size_t Vm;
    Time Until;
  };

  struct Vm {
    PermitHolder Holder;
    PermitIssuer Issuer;
    std::vector<VmId> List;
  };
  /// An ask or its answer on its way.
  struct Datagram {
    Time ArrivesAt;
    std::size_t To;
    std::size_t From;
    std::optional<PermitAnswer> Answer;
  };

  VmId inCharge(const std::vector<VmId> &vms) const {
    return vmInCharge(Limited.Id, vms);
  }
  static std::size_t indexOf(const VmId &vm) {
    return std::stoul(vm.Value.substr(2));
  }
  /// @return true if the request was sent
  bool trySend(std::size_t n) {
    Vm &vm = Vms[n];
    const auto state = vm.Holder.state(Limited, Limit, vm.List, Now);
    if (state == PermitHolder::State::Available) {
      vm.Holder.use(Limited, Now);
      SentAt.push_back(Now);
      return true;
    }
    if (state == PermitHolder::State::Ask) {
      vm.Holder.onAsked(Limited, Now);
      Datagrams.push_back(
          {Now + Travel, indexOf(inCharge(vm.List)), n, std::nullopt});
    }
    return false;
  }
  /// Delivers what has arrived.
  void deliver() {
    while (!Datagrams.empty() && Datagrams.front().ArrivesAt <= Now) {
      const Datagram datagram = Datagrams.front();
      Datagrams.pop_front();
      if (datagram.Answer) {
        Vms[datagram.To].Holder.onAnswer(Limited, *datagram.Answer, Now);
      } else if (Lost != VmId("vm" + std::to_string(datagram.To))) {
        Datagrams.push_back(
            {datagram.ArrivesAt + Travel, datagram.From, datagram.To,
             Vms[datagram.To].Issuer.issue(Limited, Limit, Now)});
      }
    }
  }

  std::mt19937_64 Random;
  double Limit;
  Time Now = at(0);
  std::vector<VmId> All;
  std::vector<Vm> Vms;
  VmId Lost;
  std::deque<Datagram> Datagrams;
  std::vector<WaitingRequest> Waiting;
  std::vector<Time> SentAt;
  int Requests = 0;
};

// Guards against a limit that each VM keeps alone, and against one so divided
// that most VMs may send nothing.
TEST(LimitPermits, HundredsOfVmsTogetherKeepAndUseTheLimit) {
  for (const int count : {1, 8, 300})
    for (const double limit : {0.4, 3.7, 40.0}) {
      PermitFleet fleet(count, limit, 7);
      constexpr int durationS = 60;
      fleet.run(seconds(durationS), 3 * limit + 5);
      EXPECT_LE(fleet.busiestWindow(), fleet.allowed()) << count;
      EXPECT_GT(fleet.sentCount(), 0.7 * limit * durationS) << count;
    }
}

// Guards against callers that are refused although the upstream could take
// their requests.
TEST(LimitPermits, MostRequestsWithinTheLimitGetAPermit) {
  PermitFleet fleet(300, 3.7, 8);
  fleet.run(seconds(120), 0.6 * 3.7);
  EXPECT_GT(fleet.sentCount(), 0.85 * fleet.requestCount());
}

// Guards against a limit that is exceeded, or an upstream that gets nothing,
// while the VM in charge is lost.
TEST(LimitPermits, LimitHoldsWhileTheVmInChargeIsLost) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    PermitFleet fleet(300, 3.7, seed);
    fleet.run(seconds(8), 20);
    fleet.loseVmInCharge();
    const int before = fleet.sentCount();
    fleet.run(seconds(8), 20);
    EXPECT_GT(fleet.sentCount(), before);
    EXPECT_LE(fleet.busiestWindow(), fleet.allowed());
  }
}

// Guards against a limit that is given out twice while VMs have two lists.
TEST(LimitPermits, LimitHoldsWhileVmsHaveDifferentLists) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    PermitFleet fleet(300, 3.7, seed);
    fleet.run(seconds(8), 30);
    fleet.replaceList();
    fleet.run(milliseconds(1200), 30); // a hello and a reply on two levels
    fleet.shareList();
    fleet.run(seconds(8), 30);
    EXPECT_LE(fleet.busiestWindow(), fleet.allowed());
  }
}

// Guards against a limit that ends for a process that did not say so, and
// against one that is kept for the next process.
TEST(UpstreamLimits, LastStatementOfTheNewestProcessCounts) {
  UpstreamLimits limits;
  EXPECT_FALSE(limits.note(Limited, std::nullopt, at(0)));
  EXPECT_TRUE(limits.note(Limited, 3.7, at(10)));
  EXPECT_FALSE(limits.note(Limited, std::nullopt, at(5))); // an older response
  EXPECT_EQ(limits.find(Limited.Id, Limited.StartedAtMs), 3.7);
  EXPECT_EQ(limits.find(Limited.Id, 2000), std::nullopt);
  EXPECT_TRUE(limits.note(Limited, std::nullopt, at(20)));
  EXPECT_EQ(limits.limitedCount(), 0U);
  // The end is passed on as well.
  EXPECT_EQ(
      limits.newest(9, at(30)),
      (std::vector<LimitNotice>{{Limited, std::nullopt, milliseconds(10)}}));
  EXPECT_TRUE(limits.note({Limited.Id, 2000}, 1, at(40)));
  EXPECT_FALSE(limits.note(Limited, 9, at(50))); // of a former process
  EXPECT_EQ(limits.find(Limited.Id, 2000), 1);
}

// Guards against values of the header that are no limit.
TEST(UpstreamLimits, HeaderIsReadOrIgnored) {
  const auto read = [](const std::string &value) {
    return platform::readResponseMetadata(200, {{"server-limit", value}})
        .LimitPerS;
  };
  EXPECT_EQ(read("3.7"), 3.7);
  EXPECT_EQ(read("0"), 0);
  for (const char *value : {"", "x", "-1", "nan", "inf", "1e999", "3,7"})
    EXPECT_EQ(read(value), std::nullopt) << value;
}

// Guards against keys that stay with an owner that cannot take their requests.
TEST(UpstreamLimits, KeysMoveAwayFromALimitedOwner) {
  std::vector<RangeUpstream> upstreams;
  for (int n = 0; n < 4; ++n) {
    RangeUpstream upstream;
    upstream.Id = UpstreamId("i-" + std::to_string(n));
    upstream.Slots = 4;
    upstream.ProcessingSeconds = 0.2;
    upstream.IsEligible = true;
    upstreams.push_back(upstream);
  }
  const std::vector<RangeRow> rows = divideKeys(upstreams);
  KeyLoad load;
  // Evenly: about 10 requests/s for each of four upstreams.
  for (int n = 0; n < 64; ++n)
    load.recordRequest(static_cast<std::uint16_t>(n * 1024 + 512));
  EXPECT_TRUE(planMoves(rows, upstreams, load, 4).empty());
  const double ownRate = load.rate(rows[1].Range);
  upstreams[1].LimitPerS = ownRate / 3;
  double left = ownRate;
  for (const RangeMove &move : planMoves(rows, upstreams, load, 8)) {
    EXPECT_NE(move.To, upstreams[1].Id);
    if (rows[1].Range.contains(move.Range.From))
      left -= load.rate(move.Range);
  }
  EXPECT_LE(left, 1.2 * *upstreams[1].LimitPerS);
  EXPECT_GT(left, 0);
}

} // namespace
} // namespace waxwing
