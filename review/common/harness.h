/**
 * @file harness.h
 * Stand-ins and helpers of the review's scripts: a small platform store, servers
 * and clients on blocking loopback sockets, and waxwing-node as a child process.
 */
#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit codes of a script.
enum ExitCode { Held = 0, Broken = 1, CouldNotRun = 2 };

inline Clock::time_point startOfRun() {
  static const Clock::time_point start = Clock::now();
  return start;
}
inline double secondsNow() {
  return std::chrono::duration<double>(Clock::now() - startOfRun()).count();
}
inline void sleepMs(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

/// record.txt: one line for each event, with the time since the start in s.
class Record {
public:
  explicit Record(const std::string &path) : Out(path) {}
  void line(const std::string &text) {
    const std::lock_guard lock(Mutex);
    char at[32];
    std::snprintf(at, sizeof at, "%8.3f ", secondsNow());
    Out << at << text << "\n";
    Out.flush();
  }

private:
  std::mutex Mutex;
  std::ofstream Out;
};

/// Blocking socket with an input buffer.
class Conn {
public:
  explicit Conn(int fd) : Fd(fd) {
    const int on = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Conn(const Conn &) = delete;
  Conn &operator=(const Conn &) = delete;
  ~Conn() { close(); }

  static std::unique_ptr<Conn> open(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<uint16_t>(port));
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<sockaddr *>(&a), sizeof a) != 0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_unique<Conn>(fd);
  }

  /// @return false at the end of the stream, on an error or after @p ms
  bool fill(int ms) {
    pollfd p{Fd, POLLIN, 0};
    const int ready = poll(&p, 1, ms);
    if (ready <= 0) {
      IsTimedOut = ready == 0;
      return false;
    }
    char buf[65536];
    const ssize_t n = recv(Fd, buf, sizeof buf, 0);
    if (n <= 0) {
      IsReset = n < 0;
      IsEnded = true;
      return false;
    }
    Input.append(buf, static_cast<size_t>(n));
    return true;
  }
  /// @return the next head with its empty line, or ""
  std::string readHead(int ms = 30000) {
    const auto until = Clock::now() + milliseconds(ms);
    for (;;) {
      if (const auto at = Input.find("\r\n\r\n"); at != std::string::npos) {
        std::string head = Input.substr(0, at + 4);
        Input.erase(0, at + 4);
        return head;
      }
      const auto left = std::chrono::duration_cast<milliseconds>(
          until - Clock::now());
      if (left.count() <= 0 || !fill(static_cast<int>(left.count())))
        return "";
    }
  }
  std::string readBytes(size_t size, int ms = 30000) {
    const auto until = Clock::now() + milliseconds(ms);
    while (Input.size() < size) {
      const auto left = std::chrono::duration_cast<milliseconds>(
          until - Clock::now());
      if (left.count() <= 0 || !fill(static_cast<int>(left.count())))
        break;
    }
    std::string bytes = Input.substr(0, size);
    Input.erase(0, bytes.size());
    return bytes;
  }
  bool write(const std::string &bytes) {
    size_t at = 0;
    while (at < bytes.size()) {
      const ssize_t n =
          send(Fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      at += static_cast<size_t>(n);
    }
    return true;
  }
  /// Ends the sending direction.
  void endSending() { shutdown(Fd, SHUT_WR); }
  void reset() {
    const linger now{1, 0};
    setsockopt(Fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  void close() {
    if (Fd >= 0)
      ::close(Fd);
    Fd = -1;
  }
  int fd() const { return Fd; }

  std::string Input;
  bool IsEnded = false;
  bool IsReset = false;
  bool IsTimedOut = false;

private:
  int Fd;
};

inline std::string fieldOf(const std::string &head, const std::string &name) {
  const auto at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos)
    return "";
  const auto from = at + name.size() + 4;
  return head.substr(from, head.find('\r', from) - from);
}
inline int statusOf(const std::string &head) {
  int status = -1;
  return std::sscanf(head.c_str(), "HTTP/1.1 %d", &status) == 1 ? status : -1;
}

inline int bindLoopback(int type, int port) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<uint16_t>(port));
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr *>(&a), sizeof a) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}
inline int portOf(int fd) {
  sockaddr_in a{};
  socklen_t size = sizeof a;
  getsockname(fd, reinterpret_cast<sockaddr *>(&a), &size);
  return ntohs(a.sin_port);
}
/// @return a port that is free for TCP and UDP
inline int freePort() {
  static std::set<int> given;
  for (int n = 0; n < 200; ++n) {
    const int tcp = bindLoopback(SOCK_STREAM, 0);
    const int port = portOf(tcp);
    const int udp = bindLoopback(SOCK_DGRAM, port);
    ::close(tcp);
    if (udp < 0)
      continue;
    ::close(udp);
    if (given.insert(port).second)
      return port;
  }
  std::fprintf(stderr, "no free port\n");
  std::exit(CouldNotRun);
}
inline std::string addressOf(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

/// TCP server with one thread for each connection.
class Server {
public:
  using Handler = std::function<void(Conn &)>;

  explicit Server(Handler handler) : Handle(std::move(handler)) {
    Fd = bindLoopback(SOCK_STREAM, 0);
    Port = portOf(Fd);
    listen(Fd, 1024);
    Acceptor = std::thread([this] { acceptAll(); });
  }
  ~Server() { stop(); }
  /// Refuses further connections and ends the open ones.
  void stop() {
    if (IsStopped.exchange(true))
      return;
    shutdown(Fd, SHUT_RDWR);
    Acceptor.join();
    ::close(Fd);
    {
      const std::lock_guard lock(Mutex);
      for (const int fd : Open)
        shutdown(fd, SHUT_RDWR);
    }
    while (Running > 0)
      sleepMs(5);
  }
  int port() const { return Port; }

private:
  void acceptAll() {
    for (;;) {
      const int fd = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (IsStopped)
          return;
        sleepMs(5);
        continue;
      }
      {
        const std::lock_guard lock(Mutex);
        Open.insert(fd);
      }
      ++Running;
      std::thread([this, fd] {
        {
          Conn conn(fd);
          Handle(conn);
          const std::lock_guard lock(Mutex);
          Open.erase(fd);
        }
        --Running;
      }).detach();
    }
  }

  Handler Handle;
  int Fd;
  int Port;
  std::atomic<bool> IsStopped = false;
  std::atomic<int> Running = 0;
  std::mutex Mutex;
  std::set<int> Open;
  std::thread Acceptor;
};

inline std::string encodeBase64(const std::string &text) {
  static const char *digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t n = 0; n < text.size(); n += 3) {
    unsigned v = 0;
    for (size_t k = 0; k < 3; ++k)
      v = v << 8 | (n + k < text.size()
                        ? static_cast<unsigned char>(text[n + k])
                        : 0);
    for (size_t k = 0; k < 4; ++k)
      out += n + k > text.size() ? '=' : digits[v >> (18 - 6 * k) & 63];
  }
  return out;
}
inline std::string decodeBase64(const std::string &text) {
  std::string out;
  unsigned v = 0;
  int bits = 0;
  for (const char c : text) {
    const int d = c >= 'A' && c <= 'Z'   ? c - 'A'
                  : c >= 'a' && c <= 'z' ? c - 'a' + 26
                  : c >= '0' && c <= '9' ? c - '0' + 52
                  : c == '+'             ? 62
                  : c == '/'             ? 63
                                         : -1;
    if (d < 0)
      continue;
    v = v << 6 | static_cast<unsigned>(d);
    if ((bits += 6) >= 8)
      out += static_cast<char>(v >> (bits -= 8) & 255);
  }
  return out;
}

/// The platform's store: items, leases, transactions and watches.
class Store {
public:
  Store() : Http([this](Conn &conn) { serve(conn, {}); }) {}
  ~Store() {
    {
      const std::lock_guard lock(Mutex);
      IsEnding = true;
    }
    Changed.notify_all();
    for (const auto &view : Views)
      view->stop();
    Http.stop();
  }
  int port() const { return Http.port(); }

  using Rewrite =
      std::function<std::string(const std::string &key, const std::string &)>;
  /// @return port at which the store is served with values that @p rewrite
  ///   replaces, so that a node reaches backends through proxies of its own
  int addView(Rewrite rewrite) {
    Views.push_back(std::make_unique<Server>(
        [this, rewrite](Conn &conn) { serve(conn, rewrite); }));
    return Views.back()->port();
  }

  void put(const std::string &key, const std::string &value) {
    const std::lock_guard lock(Mutex);
    write(key, value, 0);
  }
  void remove(const std::string &key) {
    const std::lock_guard lock(Mutex);
    erase(key);
  }
  std::string get(const std::string &key) {
    const std::lock_guard lock(Mutex);
    const auto it = Items.find(key);
    return it == Items.end() ? "" : it->second.Value;
  }
  /// Called with each call before it is carried out; a false result resets the
  /// connection instead.
  std::function<bool(const std::string &method, const std::string &target,
                     const std::string &body)>
      Admit;
  /// Connections of watches that have waited for this long, ms, are ended
  /// without an answer; 0: none are.
  std::atomic<int> WatchCutMs = 0;

private:
  struct Item {
    std::string Value;
    uint64_t Revision = 0, Created = 0, Lease = 0;
  };
  struct Lease {
    double Ttl;
    Clock::time_point End;
  };

  static Json describe(const std::string &key, const Item &item,
                       const Rewrite &rewrite) {
    return {{"key", key},
            {"value",
             encodeBase64(rewrite ? rewrite(key, item.Value) : item.Value)},
            {"revision", item.Revision},
            {"create_revision", item.Created},
            {"lease", item.Lease}};
  }
  void write(const std::string &key, const std::string &value, uint64_t lease) {
    Item &item = Items[key];
    item.Value = value;
    item.Revision = ++Revision;
    if (item.Created == 0)
      item.Created = Revision;
    item.Lease = lease;
    History.push_back({Revision, key, item, false});
    Changed.notify_all();
  }
  void erase(const std::string &key) {
    if (Items.erase(key) == 0)
      return;
    ++Revision;
    History.push_back({Revision, key, {}, true});
    Changed.notify_all();
  }
  void endLease(uint64_t id) {
    Leases.erase(id);
    std::vector<std::string> bound;
    for (const auto &[key, item] : Items)
      if (item.Lease == id)
        bound.push_back(key);
    for (const auto &key : bound)
      erase(key);
  }
  void expireLeases() {
    std::vector<uint64_t> ended;
    for (const auto &[id, lease] : Leases)
      if (Clock::now() >= lease.End)
        ended.push_back(id);
    for (const uint64_t id : ended)
      endLease(id);
  }
  static std::string query(const std::string &target, const std::string &name) {
    auto at = target.find("?" + name + "=");
    if (at == std::string::npos)
      at = target.find("&" + name + "=");
    if (at == std::string::npos)
      return "";
    const std::string raw =
        target.substr(at + name.size() + 2,
                      target.find('&', at + 1) - at - name.size() - 2);
    std::string out;
    for (size_t n = 0; n < raw.size(); ++n)
      if (raw[n] == '%' && n + 2 < raw.size()) {
        out += static_cast<char>(std::stoi(raw.substr(n + 1, 2), nullptr, 16));
        n += 2;
      } else
        out += raw[n];
    return out;
  }
  static void respond(Conn &conn, int status, const Json &body) {
    const std::string text = body.dump();
    conn.write("HTTP/1.1 " + std::to_string(status) +
               " X\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(text.size()) + "\r\n\r\n" + text);
  }

  void serve(Conn &conn, const Rewrite &rewrite) {
    for (std::string head; !(head = conn.readHead(120000)).empty();) {
      const std::string method = head.substr(0, head.find(' '));
      const auto at = method.size() + 1;
      const std::string target = head.substr(at, head.find(' ', at) - at);
      const std::string length = fieldOf(head, "Content-Length");
      const std::string body =
          length.empty() ? "" : conn.readBytes(std::stoul(length));
      if (Admit && !Admit(method, target, body)) {
        conn.reset();
        return;
      }
      handle(conn, method, target, body, rewrite);
      if (conn.fd() < 0)
        return;
    }
  }
  void handle(Conn &conn, const std::string &method, const std::string &target,
              const std::string &body, const Rewrite &rewrite) {
    std::unique_lock lock(Mutex);
    expireLeases();
    if (target.starts_with("/v1/kv-range")) {
      const std::string prefix = query(target, "prefix");
      const std::string after = query(target, "after");
      Json items = Json::array();
      for (const auto &[key, item] : Items)
        if (key.starts_with(prefix) && key > after)
          items.push_back(describe(key, item, rewrite));
      respond(conn, 200,
              {{"items", items},
               {"has_more", false},
               {"store_revision", Revision}});
    } else if (target.starts_with("/v1/kv-watch")) {
      const std::string prefix = query(target, "prefix");
      const uint64_t after = std::stoull(query(target, "after"));
      const auto begun = Clock::now();
      const auto until =
          begun + milliseconds(std::stol(query(target, "wait_ms")));
      Json events = Json::array();
      while (!IsEnding) {
        expireLeases();
        for (const Event &event : History)
          if (event.Revision > after && event.Key.starts_with(prefix))
            events.push_back(event.IsRemoved
                                 ? Json{{"key", event.Key},
                                        {"revision", event.Revision},
                                        {"removed", true}}
                                 : describe(event.Key, event.State, rewrite));
        if (!events.empty() || Clock::now() >= until)
          break;
        if (WatchCutMs > 0 && Clock::now() >= begun + milliseconds(WatchCutMs)) {
          conn.close();
          return;
        }
        Changed.wait_for(lock, milliseconds(20));
      }
      respond(conn, 200, {{"events", events}, {"store_revision", Revision}});
    } else if (target == "/v1/kv-lease") {
      const double ttl =
          std::max(1.0, Json::parse(body).at("ttl_s_time").get<double>());
      const uint64_t id = ++NextLease;
      Leases[id] = {ttl, Clock::now() + milliseconds(int(ttl * 1000))};
      respond(conn, 200, {{"lease", id}, {"ttl_s_time", ttl}});
    } else if (target.starts_with("/v1/kv-keep/")) {
      const auto it = Leases.find(std::stoull(target.substr(12)));
      if (it == Leases.end()) {
        respond(conn, 404, Json::object());
        return;
      }
      it->second.End = Clock::now() + milliseconds(int(it->second.Ttl * 1000));
      respond(conn, 200, {{"ttl_s_time", it->second.Ttl}});
    } else if (target.starts_with("/v1/kv-lease-end/")) {
      endLease(std::stoull(target.substr(17)));
      respond(conn, 200, Json::object());
    } else if (method == "POST" && target == "/v1/kv-txn") {
      runTransaction(conn, Json::parse(body));
    } else {
      respond(conn, 404, Json::object());
    }
  }
  void runTransaction(Conn &conn, const Json &body) {
    bool isMet = true;
    Json present = Json::array();
    for (const Json &row : body.at("expected_revision")) {
      const std::string key = row.at("key");
      const auto it = Items.find(key);
      isMet &= (it == Items.end() ? 0 : it->second.Revision) ==
               row.at("revision").get<uint64_t>();
      if (it != Items.end())
        present.push_back(describe(key, it->second, {}));
    }
    if (!isMet) {
      respond(conn, 412, {{"items", present}});
      return;
    }
    for (const Json &put : body.at("puts")) {
      const uint64_t lease = put.value("lease", uint64_t{0});
      if (lease != 0 && !Leases.contains(lease)) {
        respond(conn, 404, Json::object());
        return;
      }
    }
    for (const Json &put : body.at("puts"))
      write(put.at("key"), decodeBase64(put.at("value")),
            put.value("lease", uint64_t{0}));
    for (const Json &key : body.at("remove"))
      erase(key);
    respond(conn, 200, {{"revision", Revision}});
  }

  struct Event {
    uint64_t Revision;
    std::string Key;
    Item State;
    bool IsRemoved;
  };
  std::mutex Mutex;
  std::condition_variable Changed;
  bool IsEnding = false;
  std::map<std::string, Item> Items;
  std::vector<Event> History;
  std::map<uint64_t, Lease> Leases;
  uint64_t Revision = 1;
  uint64_t NextLease = 0;
  std::vector<std::unique_ptr<Server>> Views;
  Server Http;
};

/// @return the entry of a backend, as on the page "Service discovery"
inline std::string backendEntry(const std::string &service, int port,
                                const std::string &zone, int slots,
                                const std::string &state, int sequence,
                                int64_t born) {
  return Json{{"address", addressOf(port)},
              {"info",
               {{"service", service},
                {"config_version", "v1"},
                {"zone", zone},
                {"slots", slots}}},
              {"status",
               {{"state", state}, {"sequence", sequence}, {"warmup_left_s", 0}}},
              {"born", born}}
      .dump();
}

/// One waxwing-node process, started as the deploy file does.
class Node {
public:
  Node(const std::string &name, const std::string &zone, int storePort,
       const std::string &folder)
      : Folder(folder), Callers(freePort()), Ready(freePort()),
        Metrics(freePort()), Peers(freePort()) {
    Settings = folder + "/" + name + ".conf";
    std::ofstream(Settings)
        << "[vm]\nname = " << name << "\ndomain = " << zone
        << "\nregion = r1\nprocessor_share = 0.2\nmemory = 260\n"
        << "first_start = true\n[listen]\ncallers = " << addressOf(Callers)
        << "\nready = " << addressOf(Ready)
        << "\nmetrics = " << addressOf(Metrics)
        << "\npeers = " << addressOf(Peers)
        << "\n[store]\naddress = " << addressOf(storePort)
        << "\nleast_lease = 1\n[bounds]\ndrain = 2\ngrace = 6\n"
        << "longest_hold = 10\n[retries]\nratio = 0.2\nwindow = 10\n"
        << "slack = 56\n[warm_up]\noverage = 1.5\nslack = 5\n";
    Log = folder + "/" + name + ".log";
    start();
  }
  ~Node() {
    if (Pid > 0) {
      signal(SIGCONT);
      signal(SIGKILL);
      waitpid(Pid, nullptr, 0);
    }
  }
  void start() {
    Pid = fork();
    if (Pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this program
      const int out = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      const char *program = std::getenv("WAXWING_NODE");
      const std::string path = program ? program : "target/waxwing-node";
      execl(path.c_str(), "waxwing-node", "--settings", Settings.c_str(),
            nullptr);
      _exit(127);
    }
  }
  void signal(int number) const { kill(Pid, number); }
  pid_t pid() const { return Pid; }
  /// @return true if the process has ended by itself
  bool hasEnded(int &status) {
    if (Pid <= 0 || waitpid(Pid, &status, WNOHANG) != Pid)
      return Pid <= 0;
    Pid = -1;
    return true;
  }
  void killAndWait() {
    signal(SIGKILL);
    waitpid(Pid, nullptr, 0);
    Pid = -1;
  }
  /// @return status of GET /v1/readyz, or 0
  int ready() const {
    const auto conn = Conn::open(Ready);
    if (!conn)
      return 0;
    conn->write("GET /v1/readyz HTTP/1.1\r\nHost: r\r\nConnection: "
                "close\r\n\r\n");
    return statusOf(conn->readHead(1000));
  }
  bool waitReady(int ms) const {
    const auto until = Clock::now() + milliseconds(ms);
    while (Clock::now() < until) {
      if (ready() == 200)
        return true;
      sleepMs(50);
    }
    return false;
  }
  int callers() const { return Callers; }
  int metrics() const { return Metrics; }
  const std::string &log() const { return Log; }

private:
  std::string Folder, Settings, Log;
  int Callers, Ready, Metrics, Peers;
  pid_t Pid = -1;
};

/// Temporary folder that is removed at the end.
class TempFolder {
public:
  TempFolder() {
    char path[] = "/tmp/review-XXXXXX";
    Path = mkdtemp(path);
  }
  ~TempFolder() {
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(Path);
    else
      std::fprintf(stderr, "kept %s\n", Path.c_str());
  }
  std::string Path;
};

inline bool hasTrouble() {
  const char *text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

} // namespace review

#endif
