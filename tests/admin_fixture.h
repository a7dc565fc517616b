/**
 * @file admin_fixture.h
 * Test fixture with an administration API on a TCP port and an in-memory store.
 */
#ifndef WAXWING_TESTS_ADMIN_FIXTURE_H
#define WAXWING_TESTS_ADMIN_FIXTURE_H

#include "admin/admin_api_base.h"
#include "core/sha256_func.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <future>
#include <gtest/gtest.h>
#include <map>
#include <nlohmann/json.hpp>

namespace waxwing {

/// In-memory store. Must be used on its IoThread, except for the members that
/// control faults.
class MemoryStore : public PlatformStore {
public:
  explicit MemoryStore(IoThread &io) : Io(io) {}

  void get(const std::string &key,
           std::function<void(StoreGetResult)> completion) override {
    StoreGetResult result;
    if (!IsDown)
      result = {StoreStatus::Done, {key, Values[key].Rev, Values[key].Value}};
    Io.post([completion, result] { completion(result); });
  }

  void compareAndSwap(const std::string &key, Revision expected,
                      std::string value,
                      std::function<void(StorePutResult)> completion) override {
    StorePutResult result;
    StoreEntry &entry = Values[key];
    if (!IsDown && entry.Rev != expected)
      result = {StoreStatus::Conflict, entry.Rev};
    else if (!IsDown) {
      entry = {key, Revision(++LastRevision), std::move(value)};
      if (ResponsesToDrop > 0)
        --ResponsesToDrop;
      else
        result = {StoreStatus::Done, entry.Rev};
    }
    Io.post([completion, result] { completion(result); });
  }

  void list(const std::string &prefix,
            std::function<void(StoreListResult)> completion) override {
    StoreListResult result;
    result.Status = IsDown ? StoreStatus::Unanswered : StoreStatus::Done;
    for (const auto &[key, value] : Values)
      if (key.starts_with(prefix) && value.Rev != Revision(0))
        result.Entries.push_back({key, value.Rev, value.Value});
    Io.post([completion, result] { completion(result); });
  }

  void watch(const std::string &, Revision, Duration,
             std::function<void(StoreListResult)>) override {}

  std::atomic<bool> IsDown{false}; ///< as if the store didn't answer
  /// Number of following successful writes whose response is lost.
  std::atomic<int> ResponsesToDrop{0};
  std::map<std::string, StoreEntry> Values;
  std::uint64_t LastRevision = 0;

private:
  IoThread &Io;
};

/// Status and body of an HTTP response.
struct HttpResult {
  int Status = 0; ///< 0: the connection was closed without a response
  std::string Body;
  nlohmann::json json() const {
    return nlohmann::json::parse(Body, nullptr, false);
  }
  std::string code() const {
    return json().is_object() ? json().value("code", "") : "";
  }
};

constexpr std::uint16_t AdminTestPort = 16100;

/// Sends @p bytes unchanged and reads until the server closes the connection.
/// @param isCutOff whether to close the sending side after @p bytes
inline HttpResult sendRaw(const std::string &bytes, bool isCutOff = false) {
  using Tcp = boost::asio::ip::tcp;
  boost::asio::io_context context;
  Tcp::socket socket(context);
  socket.connect({boost::asio::ip::make_address("127.0.0.1"), AdminTestPort});
  boost::system::error_code ec;
  boost::asio::write(socket, boost::asio::buffer(bytes), ec);
  if (isCutOff)
    socket.shutdown(Tcp::socket::shutdown_send, ec);
  std::string response;
  boost::asio::read(socket, boost::asio::dynamic_buffer(response), ec);
  HttpResult result;
  if (response.size() > 12)
    result.Status = std::stoi(response.substr(9, 3));
  const auto end = response.find("\r\n\r\n");
  if (end != std::string::npos)
    result.Body = response.substr(end + 4);
  return result;
}

/// @return a complete HTTP request; without credentials if @p token is empty
inline std::string makeHttp(const std::string &method,
                            const std::string &target, const std::string &token,
                            const std::string &body = "") {
  return fmt::format("{} {} HTTP/1.1\r\nHost: a\r\n{}Connection: close\r\n"
                     "Content-Length: {}\r\n\r\n{}",
                     method, target,
                     token.empty() ? ""
                                   : "Authorization: Bearer " + token + "\r\n",
                     body.size(), body);
}

/// Runs an AdminApi for the teams "one" and "two", with the tokens of anna
/// (team one), bert (team two) and an operator. Queries to the controller are
/// recorded.
class AdminFixture : public testing::Test {
protected:
  AdminFixture()
      : Store(Io), Api(Io, Store, sha256Hex("operator"),
                       [this](AdminQuery query) {
                         Queries.push_back(std::move(query));
                         return AcceptsQueries;
                       }),
        Server(Io, AdminServerLimits, [this](HttpExchange exchange) {
          Api.handle(std::move(exchange));
        }) {
    Io.runEvery(AdminApi::TickPeriod, [this] { Api.tick(); });
    EXPECT_TRUE(Server.listen({"127.0.0.1", AdminTestPort}).ok());
    put("/teams/one", "[domain d]\n[tier p]\nweight = 1\n[caller c]\ntier = "
                      "p\nkey_sha256 = " +
                          sha256Hex("caller") + "\n");
    put("/teams/two", "[domain d]\n");
    put("/tokens", "[token anna]\nsha256 = " + sha256Hex("anna-secret") +
                       "\nteams = one\n[token bert]\nsha256 = " +
                       sha256Hex("bert-secret") + "\nteams = two\n");
  }
  ~AdminFixture() override { Io.stop(); }

  void put(const std::string &key, const std::string &value) {
    std::promise<void> done;
    Io.post([&] {
      Store.Values[key] = {key, Revision(++Store.LastRevision), value};
      done.set_value();
    });
    done.get_future().get();
  }

  std::string stored(const std::string &key) {
    std::promise<std::string> value;
    Io.post([&] { value.set_value(Store.Values[key].Value); });
    return value.get_future().get();
  }

  HttpResult call(const std::string &method, const std::string &target,
                  const std::string &token, const std::string &body = "") {
    return sendRaw(makeHttp(method, target, token, body));
  }

  IoThread Io{"admin-test"};
  MemoryStore Store;
  /// False simulates a full ring buffer to the controller.
  bool AcceptsQueries = true;
  std::vector<AdminQuery> Queries;
  AdminApi Api;
  HttpServer Server;
};

} // namespace waxwing

#endif
