/**
 * @file link_message_func.h
 * CBOR encoding of link messages.
 */
#ifndef WAXWING_LINK_LINK_MESSAGE_FUNC_H
#define WAXWING_LINK_LINK_MESSAGE_FUNC_H

#include "link/link_message_type.h"

#include <absl/status/statusor.h>
#include <string>

namespace waxwing {

/// @return the encoded message
std::string encodeLinkMessage(const LinkMessage &message);

/// @return the message, or InvalidArgument with a description of the error
absl::StatusOr<LinkMessage> decodeLinkMessage(const std::string &bytes);

} // namespace waxwing

#endif
