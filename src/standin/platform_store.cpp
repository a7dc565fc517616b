/**
 * @file platform_store.cpp
 * Key-value store of the in-process platform stand-in.
 */
#include "standin/platform_base.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fmt/format.h>

namespace waxwing {
namespace {

using Json = nlohmann::json;

constexpr Duration TickPeriod = milliseconds(20);

/// @return the query parameters; values are not percent-decoded, since the
///   keys in use need no escaping
std::map<std::string, std::string> parseQuery(const std::string &target) {
  std::map<std::string, std::string> result;
  const auto at = target.find('?');
  if (at == std::string::npos)
    return result;
  for (const absl::string_view part :
       absl::StrSplit(target.substr(at + 1), '&')) {
    const std::pair<std::string, std::string> pair =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    result.insert(pair);
  }
  return result;
}

} // namespace

StandinPlatformStore::StandinPlatformStore(boost::asio::io_context &loop,
                                           const Endpoint &address)
    : Loop(loop), Server(loop, address,
                         [this](const StandinRequest &request,
                                const StandinResponder &respond) {
                           handle(request, respond, nullptr);
                         }),
      Tick(loop, [this] { tick(); }) {
  Tick.scheduleBy(bootNow() + TickPeriod);
}

void StandinPlatformStore::addView(const Endpoint &address,
                                   StandinValueRewriter rewrite) {
  ViewServers.push_back(std::make_unique<StandinServer>(
      Loop, address,
      [this, rewrite = std::move(rewrite)](const StandinRequest &request,
                                           const StandinResponder &respond) {
        handle(request, respond, rewrite);
      }));
}

void StandinPlatformStore::rewriteValue(Json &json,
                                        const StandinValueRewriter &rewrite) {
  if (!rewrite || !json.contains("value"))
    return;
  std::string value;
  absl::Base64Unescape(json["value"].get<std::string>(), &value);
  json["value"] =
      absl::Base64Escape(rewrite(json["key"].get<std::string>(), value));
}

Json StandinPlatformStore::describeItem(const std::string &key,
                                        const Item &item) {
  return {{"key", key},
          {"value", absl::Base64Escape(item.Value)},
          {"revision", item.Revision},
          {"create_revision", item.CreateRevision},
          {"lease", item.Lease}};
}

void StandinPlatformStore::put(const std::string &key, const std::string &value,
                               std::uint64_t lease) {
  Item &item = Items[key];
  item.Value = value;
  item.Revision = ++Revision;
  item.CreateRevision =
      item.CreateRevision == 0 ? Revision : item.CreateRevision;
  item.Lease = lease;
  History.push_back({Revision, key, describeItem(key, item)});
}

void StandinPlatformStore::remove(const std::string &key) {
  if (Items.erase(key) == 0)
    return;
  ++Revision;
  History.push_back(
      {Revision,
       key,
       {{"key", key}, {"revision", Revision}, {"removed", true}}});
}

bool StandinPlatformStore::answerWatchIfDue(const Watch &watch,
                                            bool hasTimedOut) const {
  Json events = Json::array();
  for (const Event &event : History)
    if (event.Revision > watch.After && event.Key.starts_with(watch.Prefix))
      rewriteValue(events.emplace_back(event.Json), watch.Rewrite);
  if (events.empty() && !hasTimedOut)
    return false;
  watch.Respond(
      makeResponse(200, {{"events", events}, {"store_revision", Revision}}));
  return true;
}

std::string StandinPlatformStore::makeResponse(int status,
                                               const Json &body) const {
  return standinJsonResponse(status, body,
                             fmt::format("Store-Era: {}\r\n", Epoch));
}

void StandinPlatformStore::takeCopy() {
  Saved = {Items, Revision, NextLease, Leases};
}

void StandinPlatformStore::restoreCopy() {
  Items = Saved.Items;
  Revision = FirstRevision = Saved.Revision;
  NextLease = Saved.NextLease;
  Leases = Saved.Leases;
  History.clear();
  ++Epoch;
  for (const Watch &watch : Watches)
    watch.Respond("");
  Watches.clear();
}

void StandinPlatformStore::tick() {
  const Time now = bootNow();
  if (IsDown) {
    for (const Watch &watch : Watches)
      watch.Respond("");
    Watches.clear();
  }
  if ((IsDown && !IsExpiringWhileDown) || !IsExpiringLeases)
    for (auto &[id, lease] : Leases)
      lease.second = now + lease.first;
  std::vector<std::string> expired;
  for (const auto &[key, item] : Items)
    if (const auto lease = Leases.find(item.Lease);
        item.Lease != 0 &&
        (lease == Leases.end() || now > lease->second.second))
      expired.push_back(key);
  for (const std::string &key : expired)
    remove(key);
  std::erase_if(Leases,
                [&](const auto &entry) { return now > entry.second.second; });
  std::erase_if(Watches, [&](const Watch &watch) {
    if (now - watch.BegunAt > MaxWatchWait) {
      watch.Respond("");
      return true;
    }
    return answerWatchIfDue(watch, now > watch.TimeoutAt);
  });
  Tick.scheduleBy(now + TickPeriod);
}

void StandinPlatformStore::listItems(
    const std::map<std::string, std::string> &query,
    const StandinResponder &respond,
    const StandinValueRewriter &rewrite) const {
  const auto prefix = query.find("prefix");
  Json items = Json::array();
  for (const auto &[key, item] : Items)
    if (prefix != query.end() && key.starts_with(prefix->second))
      rewriteValue(items.emplace_back(describeItem(key, item)), rewrite);
  respond(makeResponse(
      200,
      {{"items", items}, {"has_more", false}, {"store_revision", Revision}}));
}

void StandinPlatformStore::runTransaction(const Json &body,
                                          const StandinResponder &respond) {
  const bool isMet = std::ranges::all_of(
      body["expected_revision"], [&](const Json &condition) {
        const auto item = Items.find(condition["key"].get<std::string>());
        return (item == Items.end() ? 0 : item->second.Revision) ==
               condition["revision"].get<std::uint64_t>();
      });
  if (!isMet) {
    respond(makeResponse(412, {{"items", Json::array()}}));
    return;
  }
  for (const Json &write : body["puts"]) {
    std::string value;
    absl::Base64Unescape(write["value"].get<std::string>(), &value);
    put(write["key"].get<std::string>(), value,
        write.value("lease", std::uint64_t{0}));
  }
  for (const Json &key : body["remove"])
    remove(key.get<std::string>());
  respond(makeResponse(200, {{"revision", Revision}}));
}

void StandinPlatformStore::handle(const StandinRequest &request,
                                  const StandinResponder &respond,
                                  const StandinValueRewriter &rewrite) {
  const Time now = bootNow();
  const std::string &target = request.Head.Target;
  const auto query = parseQuery(target);
  const auto idOf = [&](std::size_t prefix) {
    return std::stoull(target.substr(prefix));
  };
  constexpr std::string_view keepAlivePrefix = "/v1/kv-keep/";
  constexpr std::string_view endLeasePrefix = "/v1/kv-lease-end/";
  if (IsDown) {
    respond(makeResponse(503, Json::object()));
  } else if (target.starts_with("/v1/kv-range")) {
    listItems(query, respond, rewrite);
  } else if (target.starts_with("/v1/kv-watch") &&
             (std::stoull(query.at("after")) > Revision ||
              std::stoull(query.at("after")) < FirstRevision)) {
    respond(makeResponse(410, Json::object()));
  } else if (target.starts_with("/v1/kv-watch")) {
    Watches.push_back({query.at("prefix"), std::stoull(query.at("after")), now,
                       now + milliseconds(std::stoll(query.at("wait_ms"))),
                       respond, rewrite});
  } else if (target == "/v1/kv-txn") {
    runTransaction(Json::parse(request.Body), respond);
  } else if (target == "/v1/kv-lease") {
    const Duration term(static_cast<std::int64_t>(
        Json::parse(request.Body)["ttl_s_time"].get<double>() * 1e6));
    Leases[NextLease] = {term, now + term};
    respond(makeResponse(
        200, {{"lease", NextLease++},
              {"ttl_s_time", std::chrono::duration<double>(term).count()}}));
  } else if (target.starts_with(keepAlivePrefix)) {
    const auto lease = Leases.find(idOf(keepAlivePrefix.size()));
    if (lease != Leases.end())
      lease->second.second = now + lease->second.first;
    respond(makeResponse(lease == Leases.end() ? 404 : 200, Json::object()));
  } else if (target.starts_with(endLeasePrefix)) {
    Leases.erase(idOf(endLeasePrefix.size()));
    respond(makeResponse(200, Json::object()));
  } else {
    respond(makeResponse(404, Json::object()));
  }
}

} // namespace waxwing
