/**
 * @file control_node_type.h
 * Events and actions of a controller's control node.
 */
#ifndef WAXWING_RELAY_CONTROL_NODE_TYPE_H
#define WAXWING_RELAY_CONTROL_NODE_TYPE_H

#include "link/link_message_type.h"

#include <variant>
#include <vector>

namespace waxwing {

// Events; VmListUpdated and ShutdownStarted are declared by membership.

struct ControlTick {};
/// A hello (first message on a link) was received from controller Peer.
struct PeerLinked {
  RecordMember Peer;
};
/// The last link between this controller and Peer was closed.
struct PeerUnlinked {
  RecordMember Peer;
};
/// A message from another controller. Every message shows that the sender is
/// alive, whether or not membership, relay or reports use it.
struct PeerMessage {
  RecordMember From;
  LinkMessage Message;
};
/// The store answered, or failed to answer, a request to list all documents or
/// to wait for changed documents.
struct DocumentsWatched {
  bool IsAnswered = false; ///< false if the store did not answer
  std::vector<TeamDocument> Documents;
};
/// The store has accepted this document.
struct DocumentAccepted {
  TeamDocument Document;
};
/// The ownership state machine of this VM published a record.
struct RecordPublished {
  OwnershipRecord Record;
};

using ControlEvent =
    std::variant<ControlTick, VmListUpdated, PeerLinked, PeerUnlinked,
                 PeerMessage, DocumentsWatched, DocumentAccepted,
                 RecordPublished, ShutdownStarted>;

// Actions; SetLinkTargets and CloseLink are declared by membership.

struct SendControl {
  VmId To;
  LinkMessage Message;
};
/// Start (IsWanted) or stop listing and watching the store's documents.
struct WatchStore {
  bool IsWanted = false;
};
/// Write a document into the store, which was restored from a copy that lacks
/// changes of it.
struct WriteDocumentAgain {
  TeamDocument Document; ///< Rev is of an earlier epoch
  Revision Expected;     ///< revision of the copy
};
/// Newer documents were put into force.
struct DocumentsInForce {
  std::vector<TeamDocument> Documents;
};
/// A newer document is invalid; the previous one stays in force.
struct DocumentRejected {
  TeamDocument Document;
  std::string Error;
};
/// Send this ownership record, which is newer than the one sent before, to
/// routers.
struct RecordUpdated {
  OwnershipRecord Record;
};

using ControlAction =
    std::variant<SendControl, SetLinkTargets, CloseLink, MembersChanged,
                 WatchStore, WriteDocumentAgain, DocumentsInForce,
                 DocumentRejected, RecordUpdated>;

} // namespace waxwing

#endif
