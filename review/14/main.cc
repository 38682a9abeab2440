// Case 14: look-ups that cross to another region while the machine there learns
// of new configurations a little later.

#include "review/support-3/deployment.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <thread>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

// About the rate of one kind of request in the zone of a small deployment.
constexpr std::size_t kClients = 30;
constexpr Milliseconds kBetweenRequests{ 250 };
constexpr Milliseconds kDeadline{ 3'000 };
constexpr Milliseconds kBeforeChanges{ 7'000 };
constexpr Milliseconds kCut{ 5'500 };
constexpr unsigned kChanges = 12;
constexpr Milliseconds kBetweenChanges{ 330 };
constexpr Milliseconds kAfterChanges{ 2'000 };

struct Day
{
  Record& m_record;
  std::unique_ptr<Gateway> m_entry;
  std::unique_ptr<Gateway> m_far;
  std::atomic<bool> m_isOver = false;
  std::mutex m_mutex;
  std::map<int, unsigned> m_statuses;
  unsigned m_requests = 0;
  unsigned m_denied = 0;
};

std::string
ServiceName(unsigned aVersion)
{
  return "plassbok-" + std::to_string(aVersion);
}

// Returns the configuration that sends the route to the service of that
// version. It still holds the service of the version before.
std::string
ConfigOf(unsigned aVersion)
{
  std::vector<std::string> services = { ServiceName(aVersion) };
  if (aVersion > 1) {
    services.push_back(ServiceName(aVersion - 1));
  }
  return FormatConfig(10 * aVersion,
                      { { .m_prefix = "/lookup/",
                          .m_kind = "idempotent",
                          .m_service = ServiceName(aVersion) } },
                      services);
}

void
LookUp(Day& aDay, std::optional<Connection>& aConnection)
{
  const std::string id = NewRequestId();
  const std::string text =
    FormatRequest({ .m_method = "GET",
                    .m_target = "/lookup/1",
                    .m_headers = { { "Host", kHost },
                                   { "Rattanweir-Request-Id", id },
                                   { "Rattanweir-Deadline-Ms",
                                     std::to_string(kDeadline.count()) } } });
  if (aConnection && aConnection->IsClosed()) {
    aConnection.reset();
  }
  if (!aConnection) {
    aConnection = Connection::Open(aDay.m_entry->FrontPort());
  }
  std::optional<Message> answer;
  if (aConnection && aConnection->Send(text)) {
    answer = aConnection->Read(kDeadline);
  }
  const int status = answer ? answer->Status() : 0;
  const bool isOfRunner =
    answer && !answer->Header("Rattanweir-Response-Seal").empty();
  aDay.m_record.Write("look-up " + id + " gets " + std::to_string(status) +
                      (isOfRunner ? " of a runner" : ""));
  if (!answer || answer->Header("connection") == "close") {
    aConnection.reset();
  }
  const std::scoped_lock lock(aDay.m_mutex);
  ++aDay.m_requests;
  ++aDay.m_statuses[status];
  const bool isDenial = status >= 300 && status < 500 && status != 408 &&
                        status != 421 && status != 429;
  aDay.m_denied += isDenial && !isOfRunner ? 1 : 0;
}

void
RunClient(Day& aDay, std::size_t aNumber)
{
  std::this_thread::sleep_for(kBetweenRequests * aNumber / kClients);
  std::optional<Connection> connection;
  while (!aDay.m_isOver) {
    LookUp(aDay, connection);
    std::this_thread::sleep_for(kBetweenRequests);
  }
}

int
Judge(Day& aDay)
{
  // DENIED: more than 5 + one in 500 of all requests.
  constexpr double kAllowed = 5;
  constexpr double kAllowedFraction = 1.0 / 500;
  const std::scoped_lock lock(aDay.m_mutex);
  std::string statuses;
  for (const auto& [status, count] : aDay.m_statuses) {
    statuses += " " + std::to_string(status) + " x " + std::to_string(count);
  }
  const double bound = kAllowed + kAllowedFraction * aDay.m_requests;
  const bool isBroken = aDay.m_denied > bound;
  const std::string verdict =
    "requests " + std::to_string(aDay.m_requests) + ", denied " +
    std::to_string(aDay.m_denied) + ", bound " + std::to_string(bound) +
    ", answers:" + statuses +
    (isBroken ? "; DENIED is broken" : "; DENIED holds");
  aDay.m_record.Write(verdict);
  std::cout << verdict << "\n";
  return aDay.m_requests == 0 ? kCouldNotRun : isBroken ? kBroken : kHeld;
}

std::unique_ptr<Gateway>
MakeGateway(Record& aRecord,
            const std::string& aRegion,
            std::uint16_t aGate,
            const std::string& aScratch)
{
  return std::make_unique<Gateway>(
    GatewayOptions{ .m_name = "front-" + aRegion + "-a-1",
                    .m_zone = aRegion + "-a",
                    .m_region = aRegion,
                    .m_store = aGate,
                    .m_folder = aScratch },
    aRecord);
}

int
Play(const std::string& aFolder, const std::string& aScratch)
{
  // The stand-ins are leaked on purpose: their threads use them until the end.
  Record& record = *new Record(aFolder);
  Store& store = *new Store();
  const std::uint16_t gate = store.AddGate({});
  const std::uint16_t farGate = store.AddGate({});
  store.Put("op/config", ConfigOf(1));
  for (unsigned version = 1; version <= kChanges + 1; ++version) {
    const Runner& runner = *new Runner(
      { .m_service = ServiceName(version), .m_zone = "vestland-a" }, record);
    store.Put(runner.Key(), runner.Entry());
  }
  Day day{ .m_record = record };
  day.m_entry = MakeGateway(record, "ostland", gate, aScratch);
  day.m_far = MakeGateway(record, "vestland", farGate, aScratch);
  for (const auto& gateway : { &day.m_entry, &day.m_far }) {
    (*gateway)->SetSeeds(
      { day.m_entry->ControlPort(), day.m_far->ControlPort() });
    (*gateway)->Start();
  }
  const bool isReady = WaitUntil(Milliseconds(20'000), [&] {
    return day.m_entry->IsReady() && day.m_far->IsReady();
  });
  if (!isReady) {
    return kCouldNotRun;
  }
  std::vector<std::thread> clients;
  for (std::size_t number = 0; number < kClients; ++number) {
    clients.emplace_back([&day, number] { RunClient(day, number); });
  }
  std::this_thread::sleep_for(kBeforeChanges);
  const auto cutEnd = Clock::now() + kCut;
  if (HasTrouble()) {
    record.Write("front-vestland-a-1 is cut off from the store");
    store.SetCut(farGate, true);
  }
  for (unsigned version = 2; version <= kChanges + 1; ++version) {
    std::this_thread::sleep_for(kBetweenChanges);
    store.Put("op/config", ConfigOf(version));
    record.Write("configuration " + std::to_string(10 * version) +
                 " is acknowledged");
  }
  std::this_thread::sleep_until(cutEnd);
  store.SetCut(farGate, false);
  std::this_thread::sleep_for(kAfterChanges);
  day.m_isOver = true;
  for (std::thread& client : clients) {
    client.join();
  }
  return Judge(day);
}

} // namespace
} // namespace review

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::cerr << "usage: case_14 RECORD_FOLDER SCRATCH_FOLDER\n";
    return review::kCouldNotRun;
  }
  const int code = review::Play(aArguments[1], aArguments[2]);
  std::cout.flush();
  // Threads of the stand-ins still wait for connections.
  std::_Exit(code);
}
