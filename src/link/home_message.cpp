/**
 * @file home_message.cpp
 * Bodies of the link messages about home leases. A resource is a string for
 * an upstream and a number for a partition.
 */
#include "link/home_message_func.h"

#include <nlohmann/json.hpp>

namespace waxwing {
namespace {

using Json = nlohmann::json;

Json encodeResource(const HomeResource &resource) {
  return std::visit([](const auto &id) { return Json(id.Value); }, resource);
}

HomeResource decodeResource(const Json &json) {
  if (json.is_string())
    return UpstreamId(json.get<std::string>());
  return PartitionId(json.get<std::uint32_t>());
}

Json encodeEndpoint(const Endpoint &endpoint) {
  return formatEndpoint(endpoint);
}

Endpoint decodeEndpoint(const Json &json) {
  return parseEndpoint(json.get<std::string>());
}

} // namespace

Json encodeHomeAsk(const HomeLeaseRequest &ask) {
  Json held = Json::array();
  for (const HeldLease &row : ask.HeldLeases)
    held.push_back(
        Json::array({encodeResource(row.Resource), row.IsWarm, row.IsExpired}));
  return Json::array({ask.Service.Value, ask.Router.Value, ask.Process.Value,
                      encodeEndpoint(ask.ForwardEndpoint), ask.RequestNumber,
                      std::move(held), ask.IsLeaving, ask.Domain.Value});
}

HomeLeaseRequest decodeHomeAsk(const Json &body) {
  HomeLeaseRequest ask;
  ask.Service = ServiceId(body.at(0).get<std::string>());
  ask.Router = VmId(body.at(1).get<std::string>());
  ask.Process = Incarnation(body.at(2).get<std::uint64_t>());
  ask.ForwardEndpoint = decodeEndpoint(body.at(3));
  ask.RequestNumber = body.at(4).get<std::uint64_t>();
  ask.IsLeaving = body.at(6).get<bool>();
  ask.Domain = DomainId(body.at(7).get<std::string>());
  for (const Json &row : body.at(5))
    ask.HeldLeases.push_back({decodeResource(row.at(0)), row.at(1).get<bool>(),
                              row.at(2).get<bool>()});
  return ask;
}

Json encodeHomeAnswer(const HomeLeaseResponse &answer) {
  Json leases = Json::array();
  for (const HomeLease &row : answer.Leases)
    leases.push_back(Json::array({encodeResource(row.Resource), row.IsWarm,
                                  row.IsVacant, row.IsReleasing}));
  return Json::array({answer.Service.Value, answer.Router.Value,
                      answer.Process.Value, answer.RequestNumber,
                      answer.Term.count(), std::move(leases)});
}

HomeLeaseResponse decodeHomeAnswer(const Json &body) {
  HomeLeaseResponse answer{ServiceId(body.at(0).get<std::string>()),
                           VmId(body.at(1).get<std::string>()),
                           Incarnation(body.at(2).get<std::uint64_t>()),
                           body.at(3).get<std::uint64_t>(),
                           Duration(body.at(4).get<std::int64_t>()),
                           {}};
  for (const Json &row : body.at(5))
    answer.Leases.push_back({decodeResource(row.at(0)), row.at(1).get<bool>(),
                             row.at(2).get<bool>(), row.at(3).get<bool>()});
  return answer;
}

Json encodeHomesUpdate(const HomesUpdate &update) {
  Json rows = Json::array();
  for (const HomeAssignment &row : update.Assignments)
    rows.push_back(Json::array({encodeResource(row.Resource), row.Router.Value,
                                encodeEndpoint(row.ForwardEndpoint)}));
  return Json::array({update.Service.Value, update.Version.Record.Value,
                      update.Version.Sequence, std::move(rows)});
}

HomesUpdate decodeHomesUpdate(const Json &body) {
  HomesUpdate update{ServiceId(body.at(0).get<std::string>()),
                     {Revision(body.at(1).get<std::uint64_t>()),
                      body.at(2).get<std::uint64_t>()},
                     {}};
  for (const Json &row : body.at(3))
    update.Assignments.push_back({decodeResource(row.at(0)),
                                  VmId(row.at(1).get<std::string>()),
                                  decodeEndpoint(row.at(2))});
  return update;
}

} // namespace waxwing
