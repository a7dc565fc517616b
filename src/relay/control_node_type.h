/**
 * @file control_node_type.h
 * Events and actions of a controller's control node: membership, relay and
 * reports together.
 */
#ifndef WAXWING_RELAY_CONTROL_NODE_TYPE_H
#define WAXWING_RELAY_CONTROL_NODE_TYPE_H

#include "link/link_message_type.h"

#include <variant>
#include <vector>

namespace waxwing {

// Events; VmListUpdated and ShutdownStarted are membership's.

struct ControlTick {};
/// The hello of another controller arrived.
struct PeerLinked {
  RecordMember Peer;
};
/// The last link to another controller is gone.
struct PeerUnlinked {
  RecordMember Peer;
};
/// A message of another controller; others than membership's and the
/// relay's only prove that it lives.
struct PeerMessage {
  RecordMember From;
  LinkMessage Message;
};
/// A list of all documents, or a wait for changes, ended.
struct DocumentsWatched {
  bool IsAnswered = false; ///< false: the store did not answer
  std::vector<TeamDocument> Documents;
};
/// A document whose write is known to have taken effect.
struct DocumentAccepted {
  TeamDocument Document;
};
/// A record that this VM's state machine published.
struct RecordPublished {
  OwnershipRecord Record;
};

using ControlEvent =
    std::variant<ControlTick, VmListUpdated, PeerLinked, PeerUnlinked,
                 PeerMessage, DocumentsWatched, DocumentAccepted,
                 RecordPublished, ShutdownStarted>;

// Actions; SetLinkTargets and CloseLink are membership's.

struct SendControl {
  VmId To;
  LinkMessage Message;
};
/// Begin to list and watch the store's documents, or end it.
struct WatchStore {
  bool IsWanted = false;
};
/// Newer documents are in force.
struct DocumentsInForce {
  std::vector<TeamDocument> Documents;
};
/// Newer documents that fail their check; the older ones stay in force.
struct DocumentRejected {
  TeamDocument Document;
  std::string Error;
};
/// A newer record; routers are to have it.
struct RecordUpdated {
  OwnershipRecord Record;
};

using ControlAction =
    std::variant<SendControl, SetLinkTargets, CloseLink, MembersChanged,
                 WatchStore, DocumentsInForce, DocumentRejected, RecordUpdated>;

} // namespace waxwing

#endif
