/**
 * @file link_message_type.h
 * Messages on links between controllers and between a controller and its
 * routers. They are encoded as CBOR, see link_message_func.h.
 */
#ifndef WAXWING_LINK_LINK_MESSAGE_TYPE_H
#define WAXWING_LINK_LINK_MESSAGE_TYPE_H

#include "config/team_config_base.h"
#include "membership/membership_type.h"
#include "ownership/ownership_record_base.h"
#include "relay/relay_type.h"
#include "relay/revision_reports_type.h"
#include "traffic/crash_report_type.h"
#include "traffic/home_type.h"

#include "traffic/router_core_type.h"

#include <variant>
#include <vector>

namespace waxwing {

enum class ProcessRole : std::uint8_t { Router, Controller };

/// First message sent by each side of a link.
struct LinkHello {
  RecordMember Self;
  ProcessRole Role = ProcessRole::Router;
};

/// Documents that the receiver may not have.
struct DocumentsUpdate {
  std::vector<TeamDocument> Documents;
};

/// Ownership record of a service.
struct OwnersUpdate {
  OwnershipRecord Record;
};

/// A message between the ownership state machines of two controllers. The
/// sender is the process named by the link's hello.
struct OwnershipEnvelope {
  OwnershipMessage Message;
};

/// A message between the membership state machines of two controllers.
struct MembershipEnvelope {
  MembershipMessage Message;
};

/// A message between relays. Item contents are sent as DocumentsUpdate and
/// OwnersUpdate.
struct RelayEnvelope {
  RelayMessage Message;
};

using LinkMessage =
    std::variant<LinkHello, DocumentsUpdate, OwnersUpdate, OwnershipEnvelope,
                 CrashReportsUpdate, MembershipEnvelope, RelayEnvelope,
                 RevisionReportsUpdate, HomeLeaseRequest, HomeLeaseResponse,
                 HomesUpdate, HotKeysReport>;

} // namespace waxwing

#endif
