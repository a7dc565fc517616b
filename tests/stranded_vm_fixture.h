/**
 * @file stranded_vm_fixture.h
 * Test fixture with waxwing-node processes each of which has its own links to
 * the upstreams, so that single VMs can be cut off from all upstreams while
 * callers, the store and the other VMs reach them.
 */
#ifndef WAXWING_TESTS_STRANDED_VM_FIXTURE_H
#define WAXWING_TESTS_STRANDED_VM_FIXTURE_H

#include "link_cut.h"
#include "node_fixture.h"

namespace waxwing {

/// Upstreams are reached through one proxy for each pair of VM and upstream.
/// The VM's view of the store names the proxies as the upstreams' addresses.
class StrandedVmTest : public NodeProcessTest {
protected:
  Endpoint storeAddress(int n) const override { return address(200 + n); }

  void prepareLinks() override {
    for (int n = 0; n < NodeCount; ++n) {
      Links.emplace_back();
      for (const auto &upstream : Upstreams)
        addLink(n, upstream->settings().Address);
      Store->addView(storeAddress(n), [n](const std::string &key,
                                          const std::string &value) {
        if (!key.starts_with("servers/"))
          return value;
        nlohmann::json entry = nlohmann::json::parse(value);
        const Endpoint upstream =
            parseEndpoint(entry["address"].get<std::string>());
        entry["address"] = formatEndpoint(linkAddress(n, upstream));
        return entry.dump();
      });
    }
  }

  void TearDown() override {
    NodeProcessTest::TearDown();
    Links.clear();
  }

  /// Cuts the links of node @p n to all upstreams.
  void strand(int n, LinkCut cut) {
    runOnPlatform([&] {
      Stranded.insert(n);
      for (const auto &link : Links[n])
        waxwing::cutLink(*link, cut);
    });
  }
  /// Cuts the link of node @p n to the upstream @p upstream.
  void cutLink(int n, std::size_t upstream, LinkCut cut) {
    runOnPlatform([&] { waxwing::cutLink(*Links[n][upstream], cut); });
  }
  /// Restores the links of node @p n.
  void heal(int n) {
    runOnPlatform([&] {
      Stranded.erase(n);
      for (const auto &link : Links[n]) {
        link->ToTarget.IsHolding = link->ToCaller.IsHolding = false;
        link->open();
      }
    });
  }
  /// @return the node that leads, or -1 if there is none
  static int leader() {
    for (int n = 0; n < NodeCount; ++n)
      if (readMetric(n, "waxwing_leading") == 1)
        return n;
    return -1;
  }
  /// @return index of a node that does not lead
  static int follower() { return leader() == 0 ? 1 : 0; }

  /// Adds the proxy between node @p n and @p upstream; called on the platform's
  /// thread once that runs.
  void addLink(int n, const Endpoint &upstream) {
    Links[n].push_back(
        std::make_unique<FaultProxy>(Loop, linkAddress(n, upstream), upstream));
  }

  /// Refuses the connections of all nodes to @p upstream while its process is
  /// down, which the proxies would otherwise accept; called on the platform's
  /// thread.
  void setUpstreamRefusing(std::size_t upstream, bool isRefusing) {
    for (std::size_t n = 0; n < Links.size(); ++n) {
      if (Stranded.contains(n))
        continue;
      FaultProxy &link = *Links[n][upstream];
      if (isRefusing)
        waxwing::cutLink(link, LinkCut::ResetRefused);
      else
        link.open();
    }
  }

private:
  /// @return address of the proxy between node @p n and @p upstream
  static Endpoint linkAddress(int n, const Endpoint &upstream) {
    return address(300 + n * 50 + upstream.Port - NodeBasePort);
  }

  std::vector<std::vector<std::unique_ptr<FaultProxy>>> Links; ///< by node
  std::set<std::size_t> Stranded; ///< nodes whose links are cut
};

} // namespace waxwing

#endif
