/**
 * @file home_message_func.h
 * Bodies of the link messages about home leases. Included by the link codec
 * only.
 */
#ifndef WAXWING_LINK_HOME_MESSAGE_FUNC_H
#define WAXWING_LINK_HOME_MESSAGE_FUNC_H

#include "traffic/home_type.h"

#include <nlohmann/json_fwd.hpp>

namespace waxwing {

nlohmann::json encodeHomeAsk(const HomeLeaseRequest &ask);
nlohmann::json encodeHomeAnswer(const HomeLeaseResponse &answer);
nlohmann::json encodeHomesUpdate(const HomesUpdate &update);

/// The decoders throw the library's exceptions on malformed bodies.
HomeLeaseRequest decodeHomeAsk(const nlohmann::json &body);
HomeLeaseResponse decodeHomeAnswer(const nlohmann::json &body);
HomesUpdate decodeHomesUpdate(const nlohmann::json &body);

} // namespace waxwing

#endif
