/**
 * @file home_message_func.h
 * JSON encoding of the bodies of home lease messages. Included only by the link
 * message codec.
 */
#ifndef WAXWING_LINK_HOME_MESSAGE_FUNC_H
#define WAXWING_LINK_HOME_MESSAGE_FUNC_H

#include "traffic/home_type.h"

#include <nlohmann/json_fwd.hpp>

namespace waxwing {

nlohmann::json encodeHomeLeaseRequest(const HomeLeaseRequest &request);
nlohmann::json encodeHomeLeaseResponse(const HomeLeaseResponse &response);
nlohmann::json encodeHomesUpdate(const HomesUpdate &update);

/// Decodes a message body.
/// @throw nlohmann::json::exception if the body is malformed
HomeLeaseRequest decodeHomeLeaseRequest(const nlohmann::json &body);
HomeLeaseResponse decodeHomeLeaseResponse(const nlohmann::json &body);
HomesUpdate decodeHomesUpdate(const nlohmann::json &body);

} // namespace waxwing

#endif
