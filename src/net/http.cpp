/**
 * @file http.cpp
 * Lookup of HTTP headers by name, ignoring case.
 */
#include "net/http_type.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace waxwing {

std::string_view HttpHeaders::find(std::string_view name) const {
  const auto it = std::ranges::find_if(Rows, [name](const HttpHeader &header) {
    return boost::beast::iequals({header.Name.data(), header.Name.size()},
                                 {name.data(), name.size()});
  });
  return it == Rows.end() ? std::string_view() : it->Value;
}

bool HttpHeaders::contains(std::string_view name) const {
  return std::ranges::any_of(Rows, [name](const HttpHeader &header) {
    return boost::beast::iequals({header.Name.data(), header.Name.size()},
                                 {name.data(), name.size()});
  });
}

} // namespace waxwing
