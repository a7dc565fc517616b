/**
 * @file control_codec.h
 * JSON form of the messages of membership and the relay; included by codecs
 * only.
 */
#ifndef WAXWING_LINK_CONTROL_CODEC_H
#define WAXWING_LINK_CONTROL_CODEC_H

#include "link/link_message_type.h"

#include <nlohmann/json.hpp>

namespace waxwing {

/// Each encode() returns [type name, body].
nlohmann::json encodeControl(const Heartbeat &message);
nlohmann::json encodeControl(const MembersUpdate &message);
nlohmann::json encodeControl(const MembersSyncRequest &message);
nlohmann::json encodeControl(const ItemsAnnounce &message);
nlohmann::json encodeControl(const ItemsPull &message);
nlohmann::json encodeControl(const ItemsCompare &message);
nlohmann::json encodeControl(const ItemsVector &message);
nlohmann::json encodeControl(const RevisionReportsUpdate &message);

/// Each reads a body; throws nlohmann::json::exception or
/// std::invalid_argument when it is malformed.
LinkMessage decodeHeartbeat(const nlohmann::json &body);
LinkMessage decodeMembersUpdate(const nlohmann::json &body);
LinkMessage decodeMembersSyncRequest(const nlohmann::json &body);
LinkMessage decodeItemsAnnounce(const nlohmann::json &body);
LinkMessage decodeItemsPull(const nlohmann::json &body);
LinkMessage decodeItemsCompare(const nlohmann::json &body);
LinkMessage decodeItemsVector(const nlohmann::json &body);
LinkMessage decodeRevisionReports(const nlohmann::json &body);

} // namespace waxwing

#endif
