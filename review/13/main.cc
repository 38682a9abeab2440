// Case 13: bookings with a chunked body on connections that were opened while
// the gateway was starting.

#include "review/support-3/deployment.h"

#include <atomic>
#include <iostream>
#include <map>
#include <thread>

namespace review {
namespace {

constexpr std::size_t kClients = 40;
constexpr Milliseconds kLinkToStore{ 55 };
constexpr Milliseconds kDeadline{ 3'000 };
constexpr Milliseconds kBetweenBookings{ 1'000 };
constexpr Milliseconds kBetweenClients{ 25 };
// The processes are down for this long.
constexpr Milliseconds kDown{ 1'000 };
constexpr Milliseconds kBeforeTrouble{ 4'000 };
// Machines are in touch `contactMs` after the disruption.
constexpr Milliseconds kContact{ 5'000 };
constexpr Milliseconds kAfterContact{ 4'000 };
constexpr int kBookingBytes = 600;

using Clock = std::chrono::steady_clock;

struct Outcome
{
  int m_status = 0;
  bool m_hasSeal = false;
};

// What the clients saw of the machines in touch.
struct Counts
{
  std::mutex m_mutex;
  std::map<int, unsigned> m_statuses;
  unsigned m_requests = 0;
  // Requests that a machine in touch ended with a 3xx or 4xx of its own, other
  // than 408, 421 and 429.
  unsigned m_denied = 0;
};

struct Day
{
  Record& m_record;
  Counts m_counts;
  std::vector<std::unique_ptr<Gateway>> m_gateways;
  // No request is counted before this time.
  std::atomic<Clock::rep> m_inTouchFrom = 0;
  std::atomic<bool> m_isOver = false;

  bool IsInTouch() const
  {
    const Clock::rep from = m_inTouchFrom;
    return from != 0 && Clock::now().time_since_epoch().count() >= from;
  }
};

// A client that keeps its connections: one to each machine.
class Client
{
public:
  Client(Day& aDay, std::size_t aNumber)
    : m_day(aDay)
    , m_number(aNumber)
  {
    m_connections.resize(aDay.m_gateways.size());
  }

  void Run()
  {
    // The clients do not act at the same moments.
    std::this_thread::sleep_for(kBetweenClients * m_number);
    while (!m_day.m_isOver) {
      LookUp();
      std::this_thread::sleep_for(kBetweenBookings);
      if (m_day.IsInTouch()) {
        Book();
      }
    }
  }

private:
  std::size_t Machine() const { return m_number % m_connections.size(); }

  // Opens the connection if there is none. Tries again while the machine does
  // not accept connections.
  bool Connect()
  {
    constexpr Milliseconds kRetry{ 200 };
    auto& connection = m_connections[Machine()];
    if (connection && connection->IsClosed()) {
      connection.reset();
    }
    while (!connection && !m_day.m_isOver) {
      connection = Connection::Open(m_day.m_gateways[Machine()]->FrontPort());
      if (!connection) {
        std::this_thread::sleep_for(kRetry);
      }
    }
    return connection.has_value();
  }

  // An idempotent look-up. The client keeps the connection whatever it gets.
  void LookUp()
  {
    Send({ .m_method = "GET", .m_target = "/lookup/1" }, "look-up");
  }

  void Book()
  {
    Send({ .m_method = "POST",
           .m_target = "/booking/1",
           .m_body = std::string(kBookingBytes, 'a'),
           .m_isChunked = true },
         "booking");
  }

  void Send(Request aRequest, const std::string& aWhat)
  {
    if (!Connect()) {
      return;
    }
    auto& connection = m_connections[Machine()];
    const std::string id = NewRequestId();
    aRequest.m_headers = { { "Host", kHost },
                           { "Rattanweir-Request-Id", id },
                           { "Rattanweir-Deadline-Ms",
                             std::to_string(kDeadline.count()) } };
    const bool isInTouch = m_day.IsInTouch();
    std::optional<Message> answer;
    if (connection->Send(FormatRequest(aRequest))) {
      answer = connection->Read(kDeadline);
    }
    Outcome outcome;
    if (answer) {
      outcome = { .m_status = answer->Status(),
                  .m_hasSeal =
                    !answer->Header("Rattanweir-Response-Seal").empty() };
    }
    Count(aWhat + " " + id, outcome, isInTouch);
    if (!answer || answer->Header("connection") == "close") {
      connection.reset();
    }
  }

  void Count(const std::string& aWhat,
             const Outcome& aOutcome,
             bool aIsInTouch) const
  {
    m_day.m_record.Write("client " + std::to_string(m_number) + " sent " +
                         aWhat + " to " + m_day.m_gateways[Machine()]->Name() +
                         ", got " + std::to_string(aOutcome.m_status) +
                         (aOutcome.m_hasSeal ? " of a runner" : "") +
                         (aIsInTouch ? "" : " (not counted)"));
    if (!aIsInTouch) {
      return;
    }
    const std::scoped_lock lock(m_day.m_counts.m_mutex);
    const int status = aOutcome.m_status;
    ++m_day.m_counts.m_requests;
    ++m_day.m_counts.m_statuses[status];
    const bool isDenial = status >= 300 && status < 500 && status != 408 &&
                          status != 421 && status != 429;
    m_day.m_counts.m_denied += isDenial && !aOutcome.m_hasSeal ? 1 : 0;
  }

  Day& m_day;
  std::size_t m_number;
  std::vector<std::optional<Connection>> m_connections;
};

bool
AreAllReady(const Day& aDay)
{
  return WaitUntil(Milliseconds(20'000), [&] {
    for (const auto& gateway : aDay.m_gateways) {
      if (!gateway->IsReady()) {
        return false;
      }
    }
    return true;
  });
}

int
Judge(Day& aDay)
{
  // DENIED: more than 5 + one in 500 of all requests.
  constexpr double kAllowed = 5;
  constexpr double kAllowedFraction = 1.0 / 500;
  const std::scoped_lock lock(aDay.m_counts.m_mutex);
  const Counts& counts = aDay.m_counts;
  std::string statuses;
  for (const auto& [status, count] : counts.m_statuses) {
    statuses += " " + std::to_string(status) + " x " + std::to_string(count);
  }
  const double bound = kAllowed + kAllowedFraction * counts.m_requests;
  const bool isBroken = counts.m_denied > bound;
  const std::string verdict =
    "requests to machines in touch " + std::to_string(counts.m_requests) +
    ", denied " + std::to_string(counts.m_denied) + ", bound " +
    std::to_string(bound) + ", answers:" + statuses +
    (isBroken ? "; DENIED is broken" : "; DENIED holds");
  aDay.m_record.Write(verdict);
  std::cout << verdict << "\n";
  return counts.m_requests == 0 ? kCouldNotRun : isBroken ? kBroken : kHeld;
}

int
Play(const std::string& aFolder, const std::string& aScratch)
{
  // The stand-ins are leaked on purpose: their threads use them until the end.
  Record& record = *new Record(aFolder);
  Store& store = *new Store();
  const std::uint16_t gate = store.AddGate({ .m_delay = kLinkToStore });
  const Runner& runner =
    *new Runner({ .m_service = "plassbok", .m_zone = "nordland-a" }, record);
  store.Put("op/config",
            FormatConfig(7,
                         { { .m_prefix = "/lookup/",
                             .m_kind = "idempotent",
                             .m_service = "plassbok" },
                           { .m_prefix = "/booking/",
                             .m_kind = "non_idempotent",
                             .m_service = "plassbok" } },
                         { "plassbok" }));
  store.Put(runner.Key(), runner.Entry());
  Day day{ .m_record = record };
  std::vector<std::uint16_t> seeds;
  for (const char* number : { "1", "2" }) {
    day.m_gateways.push_back(std::make_unique<Gateway>(
      GatewayOptions{ .m_name = std::string("front-nordland-a-") + number,
                      .m_zone = "nordland-a",
                      .m_region = "nordland",
                      .m_store = gate,
                      .m_folder = aScratch },
      record));
    seeds.push_back(day.m_gateways.back()->ControlPort());
  }
  for (const auto& gateway : day.m_gateways) {
    gateway->SetSeeds(seeds);
    gateway->Start();
  }
  if (!AreAllReady(day)) {
    return kCouldNotRun;
  }
  std::vector<std::thread> clients;
  for (std::size_t number = 0; number < kClients; ++number) {
    clients.emplace_back([&day, number] { Client(day, number).Run(); });
  }
  std::this_thread::sleep_for(kBeforeTrouble);
  if (HasTrouble()) {
    for (const auto& gateway : day.m_gateways) {
      gateway->Kill();
    }
    std::this_thread::sleep_for(kDown);
    for (const auto& gateway : day.m_gateways) {
      gateway->Start();
    }
  }
  const bool areBack = AreAllReady(day);
  day.m_inTouchFrom =
    (Clock::now() + kContact + kDown).time_since_epoch().count();
  std::this_thread::sleep_for(kContact + kDown + kAfterContact);
  day.m_isOver = true;
  for (std::thread& client : clients) {
    client.join();
  }
  return areBack ? Judge(day) : kCouldNotRun;
}

} // namespace
} // namespace review

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::cerr << "usage: case_13 RECORD_FOLDER SCRATCH_FOLDER\n";
    return review::kCouldNotRun;
  }
  const int code = review::Play(aArguments[1], aArguments[2]);
  std::cout.flush();
  // Threads of the stand-ins still wait for connections.
  std::_Exit(code);
}
