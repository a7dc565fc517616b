/**
 * @file control_node.cpp
 * Passes events to membership, relay and reports, and their actions on.
 */
#include "relay/control_node_base.h"

#include <algorithm>
#include <utility>

namespace waxwing {
namespace {

/// A watcher begins once it was chosen for this long, and ends once it was
/// not for that long, so that a passing suspicion moves no watch.
constexpr Duration WatchStartDelay = milliseconds(500);
constexpr Duration WatchEndDelay = seconds(5);
/// A process without links may be alone, or about to find the others.
constexpr Duration WatchJoinDelay = milliseconds(1500);
/// A watcher whose store does not answer for longer lets another one watch.
constexpr Duration StorePatience = seconds(5);

} // namespace

ControlNode::ControlNode(const MemberEntry &self,
                         MembershipParameters membership, RelayParameters relay,
                         Time now)
    : Members(self, membership, now), Items(relay, now),
      Reports(self.Vm, self.Process), JoinUntil(now + WatchJoinDelay),
      NextReports(now) {}

std::vector<ControlAction> ControlNode::handle(const ControlEvent &event,
                                               Time now) {
  Actions.clear();
  std::visit([&](const auto &it) { on(it, now); }, event);
  return std::exchange(Actions, {});
}

std::vector<OwnershipRecord> ControlNode::records() const {
  std::vector<OwnershipRecord> records;
  for (const auto &[key, item] : Items.items())
    if (const auto *record = std::get_if<OwnershipRecord>(&item))
      records.push_back(*record);
  return records;
}

void ControlNode::on(const ControlTick &, Time now) {
  tell(MembershipTick(), now);
  tell(RelayTick(), now);
  decideWatching(now);
  sendReports(now);
}

void ControlNode::on(const VmListUpdated &event, Time now) { tell(event, now); }

void ControlNode::on(const PeerLinked &event, Time now) {
  JoinUntil = std::min(JoinUntil, now + WatchStartDelay);
  tell(MemberLinked{event.Peer.Vm, event.Peer.Process}, now);
  tell(RelayPeerUp{event.Peer.Vm}, now);
  Reports.addPeer(event.Peer.Vm);
}

void ControlNode::on(const PeerUnlinked &event, Time now) {
  tell(MemberUnlinked{event.Peer.Vm}, now);
  tell(RelayPeerDown{event.Peer.Vm}, now);
  Reports.removePeer(event.Peer.Vm);
}

void ControlNode::on(const PeerMessage &event, Time now) {
  tell(MemberActivity{event.From.Vm}, now);
  onMessage(event.From.Vm, event.Message, now);
}

void ControlNode::onMessage(const VmId &from, const LinkMessage &message,
                            Time now) {
  if (const auto *envelope = std::get_if<MembershipEnvelope>(&message)) {
    tell(MembershipMessageReceived{from, envelope->Message}, now);
    if (const auto *beat = std::get_if<Heartbeat>(&envelope->Message))
      tell(RelayDigestHeard{from, beat->Items}, now);
  }
  if (const auto *envelope = std::get_if<RelayEnvelope>(&message))
    tell(RelaySaid{from, envelope->Message}, now);
  if (const auto *update = std::get_if<DocumentsUpdate>(&message))
    for (const TeamDocument &document : update->Documents)
      tell(RelaySaid{from, ItemContent{document}}, now);
  if (const auto *update = std::get_if<OwnersUpdate>(&message))
    tell(RelaySaid{from, ItemContent{update->Record}}, now);
  if (const auto *update = std::get_if<RevisionReportsUpdate>(&message))
    Reports.take(from, *update, now);
}

void ControlNode::on(const DocumentsWatched &event, Time now) {
  if (!event.IsAnswered) {
    if (!FailingAt)
      FailingAt = now + StorePatience;
    return;
  }
  FailingAt.reset();
  tell(StoreWatchStatus{false}, now);
  for (const TeamDocument &document : event.Documents)
    tell(ItemLearnt{document}, now);
  tell(StoreRead(), now);
}

void ControlNode::on(const DocumentAccepted &event, Time now) {
  tell(ItemLearnt{event.Document}, now);
}

void ControlNode::on(const RecordPublished &event, Time now) {
  tell(ItemLearnt{event.Record}, now);
}

void ControlNode::on(const ShutdownStarted &event, Time now) {
  tell(event, now);
}

void ControlNode::tell(const MembershipEvent &event, Time now) {
  for (MembershipAction &action : Members.handle(event, now))
    std::visit([&](auto &it) { carryOut(it, now); }, action);
}

void ControlNode::tell(const RelayEvent &event, Time now) {
  for (RelayAction &action : Items.handle(event, now))
    std::visit([&](auto &it) { carryOut(it, now); }, action);
}

void ControlNode::carryOut(SendMembership &action, Time) {
  Actions.emplace_back(
      SendControl{action.To, MembershipEnvelope{std::move(action.Message)}});
}

void ControlNode::carryOut(SendHeartbeat &action, Time) {
  action.Message.Items = Items.digest();
  for (const VmId &vm : action.To)
    Actions.emplace_back(SendControl{vm, MembershipEnvelope{action.Message}});
}

void ControlNode::carryOut(SetLinkTargets &action, Time) {
  Actions.emplace_back(std::move(action));
}

void ControlNode::carryOut(CloseLink &action, Time) {
  Actions.emplace_back(std::move(action));
}

void ControlNode::carryOut(MembersChanged &action, Time) {
  IsChoiceStale = true;
  Actions.emplace_back(action);
}

void ControlNode::carryOut(SendRelay &action, Time) {
  Actions.emplace_back(
      SendControl{action.To, RelayEnvelope{std::move(action.Message)}});
}

void ControlNode::carryOut(UseItems &action, Time now) {
  std::vector<TeamDocument> documents;
  for (Item &item : action.Items) {
    if (auto *document = std::get_if<TeamDocument>(&item))
      documents.push_back(std::move(*document));
    else
      Actions.emplace_back(
          RecordUpdated{std::move(std::get<OwnershipRecord>(item))});
  }
  if (!documents.empty())
    putInForce(std::move(documents), now);
}

void ControlNode::putInForce(std::vector<TeamDocument> documents, Time now) {
  DocumentsInForce news;
  for (TeamDocument &document : documents) {
    const auto applied = Config.apply(document);
    if (!applied.ok())
      Actions.emplace_back(DocumentRejected{
          std::move(document), std::string(applied.status().message())});
    else if (*applied)
      news.Documents.push_back(std::move(document));
  }
  if (news.Documents.empty())
    return;
  Reports.setOwn(Config, now);
  Actions.emplace_back(std::move(news));
}

void ControlNode::decideWatching(Time now) {
  if (FailingAt && now >= *FailingAt) {
    FailingAt.reset();
    tell(StoreWatchStatus{true}, now);
  }
  if (std::exchange(IsChoiceStale, false))
    IsChosenWatcher = Members.isStoreWatcher();
  // One whose watches fail goes on trying, so that it learns of their end.
  const bool isWanted = IsChosenWatcher || Members.self().IsStoreFailing;
  if (isWanted == IsWatchWanted || now < JoinUntil)
    return WatchChangeAt.reset();
  if (!WatchChangeAt)
    WatchChangeAt = now + (isWanted ? WatchStartDelay : WatchEndDelay);
  if (now < *WatchChangeAt)
    return;
  WatchChangeAt.reset();
  IsWatchWanted = isWanted;
  FailingAt.reset();
  Actions.emplace_back(WatchStore{isWanted});
}

void ControlNode::sendReports(Time now) {
  if (now < NextReports)
    return;
  NextReports = now + ReportPeriod;
  for (auto &[peer, update] : Reports.nextRound())
    Actions.emplace_back(SendControl{peer, std::move(update)});
}

} // namespace waxwing
