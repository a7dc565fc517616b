/**
 * @file control_node.cpp
 * Passes events to membership, relay and revision reports, and collects their
 * actions.
 */
#include "relay/control_node_base.h"

#include <algorithm>
#include <utility>

namespace waxwing {
namespace {

/// Delays before a member selected to watch the store starts watching, and
/// before one no longer selected stops, so that the watcher does not change
/// when a member is suspected to have failed for a short time.
constexpr Duration WatchStartDelay = milliseconds(500);
constexpr Duration WatchEndDelay = seconds(5);
/// A starting process without links waits this long before it decides whether
/// to watch the store, because it may still find other members.
constexpr Duration WatchJoinDelay = milliseconds(1500);
/// A member that watches the store reports a store failure after this time
/// without an answer from it, so that another member takes over.
constexpr Duration StoreFailureDelay = seconds(5);

} // namespace

ControlNode::ControlNode(const MemberEntry &self,
                         MembershipParameters membership, RelayParameters relay,
                         Time now)
    : MembershipState(self, membership, now), RelayState(relay, now),
      Reports(self.Vm, self.Process), WatchDecisionStart(now + WatchJoinDelay),
      NextReportRound(now) {}

std::vector<ControlAction> ControlNode::handle(const ControlEvent &event,
                                               Time now) {
  Actions.clear();
  std::visit([&](const auto &it) { on(it, now); }, event);
  return std::exchange(Actions, {});
}

std::vector<OwnershipRecord> ControlNode::records() const {
  std::vector<OwnershipRecord> records;
  for (const auto &[key, item] : RelayState.items())
    if (const auto *record = std::get_if<OwnershipRecord>(&item))
      records.push_back(*record);
  return records;
}

void ControlNode::on(const ControlTick &, Time now) {
  dispatch(MembershipTick(), now);
  dispatch(RelayTick(), now);
  updateWatch(now);
  sendReports(now);
}

void ControlNode::on(const VmListUpdated &event, Time now) {
  dispatch(event, now);
}

void ControlNode::on(const PeerLinked &event, Time now) {
  WatchDecisionStart = std::min(WatchDecisionStart, now + WatchStartDelay);
  dispatch(MemberLinked{event.Peer.Vm, event.Peer.Process}, now);
  dispatch(RelayPeerUp{event.Peer.Vm}, now);
  Reports.addPeer(event.Peer.Vm);
}

void ControlNode::on(const PeerUnlinked &event, Time now) {
  dispatch(MemberUnlinked{event.Peer.Vm}, now);
  dispatch(RelayPeerDown{event.Peer.Vm}, now);
  Reports.removePeer(event.Peer.Vm);
}

void ControlNode::on(const PeerMessage &event, Time now) {
  dispatch(MemberActivity{event.From.Vm}, now);
  onMessage(event.From.Vm, event.Message, now);
}

void ControlNode::onMessage(const VmId &from, const LinkMessage &message,
                            Time now) {
  if (const auto *envelope = std::get_if<MembershipEnvelope>(&message)) {
    dispatch(MembershipMessageReceived{from, envelope->Message}, now);
    if (const auto *heartbeat = std::get_if<Heartbeat>(&envelope->Message))
      dispatch(RelayDigestReceived{from, heartbeat->Items}, now);
  }
  if (const auto *envelope = std::get_if<RelayEnvelope>(&message))
    dispatch(RelayMessageReceived{from, envelope->Message}, now);
  if (const auto *update = std::get_if<DocumentsUpdate>(&message))
    for (const TeamDocument &document : update->Documents)
      dispatch(RelayMessageReceived{from, ItemContent{document}}, now);
  if (const auto *update = std::get_if<OwnersUpdate>(&message))
    dispatch(RelayMessageReceived{from, ItemContent{update->Record}}, now);
  if (const auto *update = std::get_if<RevisionReportsUpdate>(&message))
    Reports.merge(from, *update, now);
}

void ControlNode::on(const DocumentsWatched &event, Time now) {
  if (!event.IsAnswered) {
    if (!StoreFailureDeadline)
      StoreFailureDeadline = now + StoreFailureDelay;
    return;
  }
  StoreFailureDeadline.reset();
  dispatch(StoreWatchStatus{false}, now);
  for (const TeamDocument &document : event.Documents) {
    if (RelayState.isRestoredCopy(document)) {
      const Item &held = RelayState.items().at(versionOf(document).Key);
      Actions.emplace_back(
          WriteDocumentAgain{std::get<TeamDocument>(held), document.Rev});
    }
    dispatch(LocalItemUpdated{document}, now);
  }
  dispatch(StoreDocumentsRead(), now);
}

void ControlNode::on(const DocumentAccepted &event, Time now) {
  dispatch(LocalItemUpdated{event.Document}, now);
}

void ControlNode::on(const RecordPublished &event, Time now) {
  dispatch(LocalItemUpdated{event.Record}, now);
}

void ControlNode::on(const ShutdownStarted &event, Time now) {
  dispatch(event, now);
}

void ControlNode::dispatch(const MembershipEvent &event, Time now) {
  for (MembershipAction &action : MembershipState.handle(event, now))
    std::visit([&](auto &it) { execute(it, now); }, action);
}

void ControlNode::dispatch(const RelayEvent &event, Time now) {
  for (RelayAction &action : RelayState.handle(event, now))
    std::visit([&](auto &it) { execute(it, now); }, action);
}

void ControlNode::execute(SendMembership &action, Time) {
  Actions.emplace_back(
      SendControl{action.To, MembershipEnvelope{std::move(action.Message)}});
}

void ControlNode::execute(SendHeartbeat &action, Time) {
  action.Message.Items = RelayState.digest();
  for (const VmId &vm : action.To)
    Actions.emplace_back(SendControl{vm, MembershipEnvelope{action.Message}});
}

void ControlNode::execute(SetLinkTargets &action, Time) {
  Actions.emplace_back(std::move(action));
}

void ControlNode::execute(CloseLink &action, Time) {
  Actions.emplace_back(std::move(action));
}

void ControlNode::execute(MembersChanged &action, Time) {
  IsWatcherSelectionStale = true;
  Actions.emplace_back(action);
}

void ControlNode::execute(SendRelay &action, Time) {
  Actions.emplace_back(
      SendControl{action.To, RelayEnvelope{std::move(action.Message)}});
}

void ControlNode::execute(ApplyItems &action, Time now) {
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
  DocumentsInForce inForce;
  for (TeamDocument &document : documents) {
    const auto applied = Config.apply(document);
    if (!applied.ok())
      Actions.emplace_back(DocumentRejected{
          std::move(document), std::string(applied.status().message())});
    else if (*applied)
      inForce.Documents.push_back(std::move(document));
  }
  if (inForce.Documents.empty())
    return;
  Reports.setOwnRevisions(Config, now);
  Actions.emplace_back(std::move(inForce));
}

void ControlNode::updateWatch(Time now) {
  if (StoreFailureDeadline && now >= *StoreFailureDeadline) {
    StoreFailureDeadline.reset();
    dispatch(StoreWatchStatus{true}, now);
  }
  if (std::exchange(IsWatcherSelectionStale, false))
    IsSelectedWatcher = MembershipState.isStoreWatcher();
  // A member whose watch fails keeps watching in order to notice that the store
  // has recovered.
  const bool isWanted =
      IsSelectedWatcher || MembershipState.self().IsStoreFailing;
  if (isWanted == IsWatchRequested || now < WatchDecisionStart)
    return WatchChangeDeadline.reset();
  if (!WatchChangeDeadline)
    WatchChangeDeadline = now + (isWanted ? WatchStartDelay : WatchEndDelay);
  if (now < *WatchChangeDeadline)
    return;
  WatchChangeDeadline.reset();
  IsWatchRequested = isWanted;
  StoreFailureDeadline.reset();
  Actions.emplace_back(WatchStore{isWanted});
}

void ControlNode::sendReports(Time now) {
  if (now < NextReportRound)
    return;
  NextReportRound = now + ReportPeriod;
  for (auto &[peer, update] : Reports.nextRound())
    Actions.emplace_back(SendControl{peer, std::move(update)});
}

} // namespace waxwing
