/**
 * @file drain.cpp
 * Backends that leave without a report, while the store ends watches that wait.
 */
#include "../common/harness.h"

#include <algorithm>
#include <random>

using namespace review;

namespace {

constexpr int NodeCount = 2;
constexpr int BackendCount = 6;
constexpr int ClientCount = 16;
constexpr int Slots = 4;
constexpr int WorkMs = 60;
/// Life of a watch that waits, while the store cuts them.
constexpr int WatchLifeMs = 1200;
constexpr double DrainS = 2;    // drain_s of the site
constexpr double ContactS = 3;  // contact_s of the site
/// The leaving backends serve for drain_s and a little longer, then exit.
constexpr double ServesLongerS = 2;
/// When backends leave, after the start of traffic.
constexpr double LeaveAt[] = {6, 14};
constexpr int TrafficMs = 22000;

const char *const Config = R"({"config_version":"00000001","routes":{
  "book":{"hostname":"jepu9.example","prefix":"/book/","kind":"non_idempotent",
    "timeout_s":1.2,"target_latency_s":0.8,"priority":1,"max_attempts":2,
    "service":"reservation"}},
  "services":{"reservation":{"health_path":"/healthz","max_connections":110,
    "protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":5.7}},
  "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
    "header_timeout_s":3,"idle_timeout_s":15},"base_version":"00000000"})";

std::unique_ptr<Record> Out;
std::mutex Mutex;
std::map<std::string, double> SentAt; ///< by Request-Id
std::map<std::string, int> Statuses;
std::atomic<int> Runs = 0, LateArrivals = 0, CutRuns = 0;

class Backend {
public:
  explicit Backend(int n)
      : Id("i-" + std::to_string(n)),
        Http(std::make_unique<Server>([this](Conn &conn) { serve(conn); })) {}
  std::string entry() const {
    return backendEntry("reservation", Http->port(), "plateau", Slots, "ready",
                        1, 1764900000000);
  }
  void exit() {
    IsGone = true;
    Http->stop();
  }
  const std::string Id;
  std::atomic<double> RemovedAt = -1; ///< acknowledgement of its removal

private:
  void serve(Conn &conn) {
    for (std::string head; !(head = conn.readHead()).empty();) {
      const std::string id = fieldOf(head, "Request-Id");
      const std::string length = fieldOf(head, "Content-Length");
      if (!length.empty())
        conn.readBytes(std::stoul(length));
      if (fieldOf(head, "Target-Instance") != Id) {
        conn.write("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id +
                   "\r\nInstance-Id: " + Id +
                   "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      const double at = secondsNow();
      const bool isLate = RemovedAt >= 0 && at > RemovedAt + DrainS;
      ++Runs;
      LateArrivals += isLate ? 1 : 0;
      char line[128];
      std::snprintf(line, sizeof line, "run %s at %s%s", id.c_str(), Id.c_str(),
                    isLate ? " DRAIN" : "");
      if (RemovedAt >= 0) {
        const size_t used = std::strlen(line);
        std::snprintf(line + used, sizeof line - used,
                      " (%.3f s after its removal)", at - RemovedAt);
      }
      Out->line(line);
      sleepMs(WorkMs);
      if (IsGone) {
        ++CutRuns;
        Out->line("cut by the exit of its backend: " + id);
        return;
      }
      if (!conn.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                      "\r\nBackend-Signature: sig-" + id +
                      "\r\nContent-Length: 6\r\n\r\nbooked"))
        return;
    }
  }

  std::atomic<bool> IsGone = false;
  std::unique_ptr<Server> Http;
};

void runClient(int port, int number, Clock::time_point until) {
  std::mt19937 random(number);
  std::unique_ptr<Conn> conn;
  for (int n = 0; Clock::now() < until; ++n) {
    if (!conn || conn->fd() < 0)
      conn = Conn::open(port);
    if (!conn) {
      sleepMs(20);
      continue;
    }
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08x", 0x9c41d07bu + number, n);
    {
      const std::lock_guard lock(Mutex);
      SentAt[id] = secondsNow();
    }
    Out->line("sent " + std::string(id));
    conn->write("POST /book/" + std::string(id) +
                " HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: " + id +
                "\r\nDeadline-Ms: 2000\r\nContent-Length: 4\r\n\r\npay!");
    const std::string head = conn->readHead(2500);
    const std::string length = fieldOf(head, "Content-Length");
    if (!length.empty())
      conn->readBytes(std::stoul(length), 2500);
    const int status = head.empty() ? 0 : statusOf(head);
    Out->line("answered " + std::string(id) + " " + std::to_string(status));
    {
      const std::lock_guard lock(Mutex);
      Statuses[id] = status;
    }
    if (head.empty() || fieldOf(head, "Connection") == "close")
      conn->reset();
    sleepMs(static_cast<int>(random() % 60));
  }
}

int run(const std::string &recordPath) {
  startOfRun();
  Out = std::make_unique<Record>(recordPath);
  TempFolder folder;
  Store store;
  store.put("op/config", Config);
  std::vector<std::unique_ptr<Backend>> backends;
  for (int n = 0; n < BackendCount; ++n) {
    backends.push_back(std::make_unique<Backend>(n));
    store.put("servers/" + backends.back()->Id, backends.back()->entry());
  }
  std::vector<std::unique_ptr<Node>> nodes;
  for (int n = 0; n < NodeCount; ++n)
    nodes.push_back(std::make_unique<Node>("front-" + std::to_string(n),
                                           "plateau", store.port(),
                                           folder.Path));
  for (const auto &node : nodes)
    if (!node->waitReady(15000))
      return CouldNotRun;
  sleepMs(static_cast<int>(ContactS * 1000) + 1000);
  if (hasTrouble())
    store.WatchCutMs = WatchLifeMs;
  const double start = secondsNow();
  Out->line("traffic starts");
  const auto until = Clock::now() + milliseconds(TrafficMs);
  std::vector<std::thread> clients;
  for (int n = 0; n < ClientCount; ++n)
    clients.emplace_back(
        [&, n] { runClient(nodes[n % NodeCount]->callers(), n, until); });
  for (size_t n = 0; n < std::size(LeaveAt); ++n) {
    while (secondsNow() < start + LeaveAt[n])
      sleepMs(5);
    Backend &leaving = *backends[n];
    store.remove("servers/" + leaving.Id);
    leaving.RemovedAt = secondsNow();
    Out->line("the store has removed " + leaving.Id);
    while (secondsNow() < leaving.RemovedAt + DrainS + ServesLongerS)
      sleepMs(5);
    leaving.exit();
    Out->line(leaving.Id + " has exited");
  }
  for (auto &client : clients)
    client.join();
  nodes.clear();
  int failed = 0, served = 0;
  for (const auto &[id, status] : Statuses)
    (status == 200 ? served : failed) += 1;
  std::printf("requests %zu, served %d, failed or refused %d, run %d, DRAIN "
              "(reached a backend later than drain_s after its removal) %d, "
              "cut by its exit %d\n",
              SentAt.size(), served, failed, Runs.load(), LateArrivals.load(),
              CutRuns.load());
  if (served == 0)
    return CouldNotRun;
  return LateArrivals > 0 ? Broken : Held;
}

} // namespace

int main(int argc, char **argv) {
  return argc == 2 ? run(argv[1]) : static_cast<int>(CouldNotRun);
}
