/**
 * @file link_cut.h
 * Cuts of proxied links between a VM and upstreams.
 */
#ifndef WAXWING_TESTS_LINK_CUT_H
#define WAXWING_TESTS_LINK_CUT_H

#include "node_soak_proxy.h"

namespace waxwing {

/// How the links of a VM to the upstreams are cut.
enum class LinkCut : std::uint8_t {
  Silent,       ///< present and further connections hang
  Reset,        ///< present connections are reset, further ones hang
  Refused,      ///< present connections live on, further ones are refused
  ResetRefused, ///< present connections are reset, further ones are refused
  LastCut = ResetRefused
};

inline void cutLink(FaultProxy &link, LinkCut cut) {
  link.ToTarget.IsHolding = link.ToCaller.IsHolding = cut == LinkCut::Silent;
  if (cut == LinkCut::Reset || cut == LinkCut::ResetRefused)
    link.reset();
  if (cut == LinkCut::Refused || cut == LinkCut::ResetRefused)
    link.refuse();
  else
    link.hang();
}

} // namespace waxwing

#endif
