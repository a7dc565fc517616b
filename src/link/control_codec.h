/**
 * @file control_codec.h
 * JSON encoding of the membership and relay messages. Included only by the link
 * message codec.
 */
#ifndef WAXWING_LINK_CONTROL_CODEC_H
#define WAXWING_LINK_CONTROL_CODEC_H

#include "link/link_message_type.h"

#include <nlohmann/json.hpp>

namespace waxwing {

/// Encodes a message as [type name, body].
nlohmann::json encodeControl(const Heartbeat &message);
nlohmann::json encodeControl(const MembersUpdate &message);
nlohmann::json encodeControl(const MembersSyncRequest &message);
nlohmann::json encodeControl(const ItemsAnnouncement &message);
nlohmann::json encodeControl(const ItemsRequest &message);
nlohmann::json encodeControl(const ItemsSyncRequest &message);
nlohmann::json encodeControl(const ItemsSyncReply &message);
nlohmann::json encodeControl(const RevisionReportsUpdate &message);

/// Decodes a message body.
/// @throw nlohmann::json::exception or std::invalid_argument if the body is
///   malformed
LinkMessage decodeHeartbeat(const nlohmann::json &body);
LinkMessage decodeMembersUpdate(const nlohmann::json &body);
LinkMessage decodeMembersSyncRequest(const nlohmann::json &body);
LinkMessage decodeItemsAnnouncement(const nlohmann::json &body);
LinkMessage decodeItemsRequest(const nlohmann::json &body);
LinkMessage decodeItemsSyncRequest(const nlohmann::json &body);
LinkMessage decodeItemsSyncReply(const nlohmann::json &body);
LinkMessage decodeRevisionReports(const nlohmann::json &body);

} // namespace waxwing

#endif
