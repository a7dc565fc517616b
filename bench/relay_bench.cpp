/**
 * @file relay_bench.cpp
 * Cost of the control plane on one node and store calls, by number of members,
 * and the time until a change is in force on every node. Runs the production
 * state machines and codec in simulated time; the CPU time is measured and
 * includes that of the simulated network.
 */
#include "../tests/control_net.h"

#include <ctime>
#include <fmt/core.h>
#include <malloc.h>

namespace waxwing {
namespace {

constexpr Duration SettlingTime = seconds(20);
constexpr Duration IdlePeriod = seconds(30);
constexpr int ChangeCount = 5;
constexpr Duration ChangePeriod = milliseconds(10'013);
/// Lines of 100 characters in a team's document, which makes it about as large
/// as the demo's document.
constexpr std::size_t DocumentLines = 80;

double cpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Load of the control plane during one phase of the benchmark.
struct ControlRates {
  double BytesPerNode;    ///< bytes sent per second, per node
  double MessagesPerNode; ///< messages sent per second, per node
  double CpuShare;        ///< fraction of one core, per node
  double StoreCalls;      ///< calls per second, of all nodes together
};

/// Measures rates over a period of simulated time.
class RateMeter {
public:
  explicit RateMeter(const ControlNet &net)
      : Net(net), CountsBefore(net.Counts), Begin(net.Now),
        CpuSecondsBefore(cpuSeconds()) {}

  ControlRates rates() const {
    const double span = std::chrono::duration<double>(Net.Now - Begin).count();
    const double nodes = static_cast<double>(Net.Hosts.size()) * span;
    const auto calls = Net.Counts.StoreLists + Net.Counts.StoreWaits -
                       CountsBefore.StoreLists - CountsBefore.StoreWaits;
    return {static_cast<double>(Net.Counts.Bytes - CountsBefore.Bytes) / nodes,
            static_cast<double>(Net.Counts.Messages - CountsBefore.Messages) /
                nodes,
            (cpuSeconds() - CpuSecondsBefore) / nodes,
            static_cast<double>(calls) / span};
  }

private:
  const ControlNet &Net;
  NetCounts CountsBefore;
  Time Begin;
  double CpuSecondsBefore;
};

void printRow(std::size_t members, const char *phase, const ControlRates &it,
              const std::string &more) {
  fmt::print("{:>7}  {:<22}{:>10.0f}{:>9.1f}{:>10.3f}{:>12.2f}  {}\n", members,
             phase, it.BytesPerNode, it.MessagesPerNode, it.CpuShare * 100,
             it.StoreCalls, more);
  std::fflush(stdout);
}

Duration timeToConverge(ControlNet &net) {
  const Time begin = net.Now;
  while (!net.isConverged() && net.Now < begin + ChangePeriod)
    net.runFor(milliseconds(5));
  return net.Now - begin;
}

double toMilliseconds(Duration it) {
  return static_cast<double>(it.count()) / 1000;
}

void measureChanges(ControlNet &net) {
  Duration worst{};
  Duration sum{};
  const RateMeter meter(net);
  for (int n = 0; n < ChangeCount; ++n) {
    const Time begin = net.Now;
    net.write("dakar", DocumentLines);
    const Duration span = timeToConverge(net);
    worst = std::max(worst, span);
    sum += span;
    net.run(begin + ChangePeriod);
  }
  printRow(net.Hosts.size(), "a change every 10 s", meter.rates(),
           fmt::format("in force everywhere: mean {:.0f} ms, worst {:.0f} ms",
                       toMilliseconds(sum) / ChangeCount,
                       toMilliseconds(worst)));
}

void measureReplacement(ControlNet &net) {
  const RateMeter meter(net);
  std::size_t right = 0;
  for (std::size_t n = 0; n < 6; ++n) {
    net.leave(n);
    net.runFor(milliseconds(200));
    net.crash(n);
    net.runFor(seconds(2));
    net.start(n);
    net.runFor(seconds(8));
    right += net.areMemberListsCorrect() ? 1 : 0;
  }
  printRow(net.Hosts.size(), "a VM replaced in 10 s", meter.rates(),
           fmt::format("views right after each: {}/6", right));
}

void measureOutage(ControlNet &net) {
  net.IsStoreDown = true;
  const RateMeter meter(net);
  net.runFor(IdlePeriod);
  const ControlRates storeDownRates = meter.rates();
  net.IsStoreDown = false;
  net.runFor(seconds(15));
  printRow(net.Hosts.size(), "store down", storeDownRates, "");
}

void measureRegions(ControlNet &net) {
  for (auto &host : net.Hosts)
    host.ReachabilityGroup = host.Region == "region0" ? 0 : 1;
  const RateMeter apart(net);
  net.runFor(seconds(10));
  printRow(net.Hosts.size(), "regions apart 10 s", apart.rates(), "");
  for (auto &host : net.Hosts)
    host.ReachabilityGroup = 0;
  const RateMeter again(net);
  const Time begin = net.Now;
  while (!net.areMemberListsCorrect() && net.Now < begin + seconds(60))
    net.runFor(milliseconds(100));
  printRow(net.Hosts.size(), "and together again", again.rates(),
           fmt::format("views right after {:.1f} s",
                       toMilliseconds(net.Now - begin) / 1000));
}

void measureFleet(std::size_t members) {
  ControlNet net(members, 6, members > 10 ? 2 : 1, members);
  for (std::size_t n = 0; n < members; ++n) {
    net.start(n);
    if (n % 32 == 31)
      net.runFor(milliseconds(100));
  }
  net.write("dakar", DocumentLines);
  net.runFor(SettlingTime);
  const double heap = static_cast<double>(mallinfo2().uordblks) / 1e6;
  std::size_t links = 0;
  std::size_t most = 0;
  for (std::size_t n = 0; n < members; ++n) {
    links += net.linkCountOf(n);
    most = std::max(most, net.linkCountOf(n));
  }
  net.IsEncoding = true;
  net.runFor(seconds(1));
  const RateMeter idle(net);
  net.runFor(IdlePeriod);
  printRow(
      members, "idle", idle.rates(),
      fmt::format("links: mean {:.1f}, most {}; heap {:.2f} MB a node; "
                  "views right: {}",
                  static_cast<double>(links) / static_cast<double>(members),
                  most, heap / static_cast<double>(members),
                  net.areMemberListsCorrect()));
  measureChanges(net);
  measureReplacement(net);
  measureOutage(net);
  if (members > 10)
    measureRegions(net);
  for (const std::string &violation : net.Violations)
    fmt::print("violation: {}\n", violation);
  std::fflush(stdout);
}

} // namespace
} // namespace waxwing

int main(int argc, char **argv) {
  fmt::print("1 ms between VMs, 40 ms between regions; bytes are of frames' "
             "payload, sent\n{:>7}  {:<22}{:>10}{:>9}{:>10}{:>12}\n",
             "members", "phase", "bytes/s", "msg/s", "core %", "store/s");
  std::vector<std::size_t> sizes{10, 100, 730};
  if (argc > 1)
    sizes = {static_cast<std::size_t>(std::atoi(argv[1]))};
  for (const std::size_t members : sizes)
    waxwing::measureFleet(members);
}
