/**
 * @file configuration_host.cpp
 * Passes documents and ownership records on.
 */
#include "controller/configuration_host.h"

#include <spdlog/spdlog.h>
#include <utility>

namespace waxwing {

ConfigurationHost::ConfigurationHost(RecordMember self, LinkPort &links,
                                     Changed changed)
    : Self(std::move(self)), Links(links),
      ConfigurationChanged(std::move(changed)) {}

void ConfigurationHost::apply(const std::vector<TeamDocument> &documents,
                              Time now) {
  DocumentsUpdate news;
  for (const TeamDocument &document : documents) {
    const auto applied = Config.apply(document);
    if (!applied.ok()) {
      spdlog::warn("document of {} at revision {} is faulty: {}",
                   document.Team.Value, document.Rev.Value,
                   std::string(applied.status().message()));
      continue;
    }
    if (!*applied)
      continue;
    spdlog::info("configuration of {} at revision {} in force",
                 document.Team.Value, document.Rev.Value);
    news.Documents.push_back(document);
  }
  if (news.Documents.empty())
    return;
  send({std::nullopt, ProcessRole::Router, news});
  send({std::nullopt, ProcessRole::Controller, news});
  ConfigurationChanged(now);
}

void ConfigurationHost::takeOwners(const OwnershipRecord &record) {
  auto &known = Owners[record.Service];
  if (known.Rev >= record.Rev)
    return;
  known = record;
  send({std::nullopt, ProcessRole::Router, OwnersUpdate{record}});
}

void ConfigurationHost::publish(const OwnershipRecord &record) {
  takeOwners(record);
  send({std::nullopt, ProcessRole::Controller, OwnersUpdate{record}});
}

void ConfigurationHost::on(const VmListRead &read, Time) {
  if (std::exchange(Vms, read.Vms) == read.Vms)
    return;
  LinkTargets targets;
  for (const ListedVm &vm : Vms)
    if (vm.Vm < Self.Vm)
      targets.Controllers[vm.Vm] = vm.Link;
  Links.commands().push(std::move(targets));
}

void ConfigurationHost::on(const LinkReceived &received, Time now) {
  if (std::holds_alternative<LinkHello>(received.Message))
    greet(received.From);
  if (const auto *update = std::get_if<DocumentsUpdate>(&received.Message))
    apply(update->Documents, now);
  if (const auto *update = std::get_if<OwnersUpdate>(&received.Message))
    takeOwners(update->Record);
}

void ConfigurationHost::on(const LinkLost &, Time) {}

/// Tells a process that has just linked all that this one knows.
void ConfigurationHost::greet(const LinkHello &peer) {
  DocumentsUpdate update;
  for (const auto &[team, document] : Config.documents())
    update.Documents.push_back(document);
  send({std::nullopt, peer.Role, update});
  for (const auto &[service, record] : Owners)
    send({std::nullopt, peer.Role, OwnersUpdate{record}});
}

} // namespace waxwing
