// A planned stop: requests that arrive while the instance still accepts them,
// over three seconds after SIGTERM, and whose answers take a few seconds.

#include "review/support/case.h"
#include "review/support/configuration.h"
#include "review/support/platform_store.h"

#include <algorithm>
#include <csignal>
#include <iterator>
#include <memory>
#include <thread>

namespace {

using namespace review;
using namespace std::chrono_literals;

constexpr auto kContactTime = 5s;
// Every caller may use a directory answer (ttlS 1) for three times its time to
// live, and longer if it cannot obtain a new one.
constexpr std::chrono::milliseconds kSendAfter[] = { 3'050ms,
                                                     3'100ms,
                                                     3'150ms };
constexpr auto kStartTimeout = 10s;
// `roll_term`: all machines, one at a time, with this pause between.
constexpr auto kBetweenStops = 1'000ms;
// 16 events, 300 ms apart: 4.5 s in all.
const Work kLongWork{ .m_untilFirst = 100ms,
                      .m_events = 16,
                      .m_interval = 300ms };
const Work kShortWork{ .m_untilFirst = 20ms, .m_events = 2 };

Work
WorkOf(const Request& aRequest)
{
  const std::string* id =
    FindHeader(aRequest.m_headers, "Rattanweir-Request-Id");
  return id != nullptr && id->starts_with("long") ? kLongWork : kShortWork;
}

// A client with one kept connection.
class Client
{
public:
  Client(const Address& aInstance, std::string aName, Record& aRecord)
    : m_connection(Connect(aInstance))
    , m_name(std::move(aName))
    , m_record(aRecord)
  {
  }

  // Returns the answer, or nullopt if the connection ended without one.
  std::optional<Response> Ask(const std::string& aId)
  {
    m_record.Write(m_name + " sends " + aId);
    if (!m_connection.Write(RequestText({ .m_id = aId }))) {
      m_record.Write(m_name + ": the connection is closed");
      return std::nullopt;
    }
    auto response = m_connection.ReadResponse(SteadyClock::now() + 6'500ms);
    m_record.Write(m_name + " gets for " + aId + ": " + Describe(response));
    return response;
  }

private:
  Connection m_connection;
  std::string m_name;
  Record& m_record;
};

// Broken if a runner began to run the request and its client got no complete
// answer.
bool
WasLost(const std::string& aId,
        const std::optional<Response>& aResponse,
        Runner& aRunner)
{
  const std::vector<Run> runs = aRunner.Runs();
  const bool wasPassedOn = std::ranges::any_of(
    runs, [&](const Run& aRun) { return aRun.m_request == aId; });
  return wasPassedOn && (!aResponse || !aResponse->m_isComplete);
}

using Clients = std::vector<std::unique_ptr<Client>>;

// Connects clients to the instance that the directory names, and sends one
// short request on each connection.
Clients
ConnectClients(const Instance& aDirectory, Record& aRecord)
{
  Clients clients;
  while (clients.size() < std::size(kSendAfter)) {
    const std::string number = std::to_string(clients.size() + 1);
    const Address address =
      Resolve(aDirectory.Addresses().m_directory, "ostland");
    clients.push_back(
      std::make_unique<Client>(address, "client " + number, aRecord));
    const auto response = clients.back()->Ask("short-" + number);
    if (!response || !response->m_isComplete || response->m_status != 200) {
      throw CannotRun("a request before the stop was not answered");
    }
  }
  return clients;
}

// Asks for new addresses once a second, as a client does when its directory
// answer has expired, until the requests are sent. The platform starts a
// process again that has ended.
void
RenewAddresses(const std::vector<Instance*>& aInstances,
               SteadyTime aEnd,
               Record& aRecord)
{
  while (SteadyClock::now() + 1s < aEnd) {
    std::this_thread::sleep_for(950ms);
    for (Instance* instance : aInstances) {
      if (!instance->IsRunning()) {
        instance->Start();
      }
    }
    for (const Instance* instance : aInstances) {
      const auto response = Get(instance->Addresses().m_directory,
                                std::string("/api/resolve?name=") + kHost +
                                  "&region=ostland&zone=ostland-a",
                                SteadyClock::now() + 1s);
      aRecord.Write("the directory of " + instance->Name() + " answers: " +
                    (response
                       ? std::to_string(response->m_status) +
                           (response->m_status == 200 ? " with addresses"
                                                      : " without addresses")
                       : "nothing"));
    }
  }
}

// Sends a long request on each connection, at its time; returns how many were
// lost.
std::ptrdiff_t
SendLongRequests(Clients& aClients, SteadyTime aStopAt, Runner& aRunner)
{
  std::vector<std::thread> threads;
  std::vector<char> wereLost(aClients.size());
  for (std::size_t index = 0; index < aClients.size(); ++index) {
    threads.emplace_back([&, index] {
      std::this_thread::sleep_until(aStopAt + kSendAfter[index]);
      const std::string id = "long-" + std::to_string(index + 1);
      const auto response = aClients[index]->Ask(id);
      wereLost[index] = WasLost(id, response, aRunner) ? 1 : 0;
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return std::ranges::count(wereLost, 1);
}

bool
RunShutdown(const CaseArguments& aArguments, Record& aRecord)
{
  static PlatformStore store;
  store.Put("op/config", ConfigurationText({ .m_kind = "streaming" }));
  static Runner runner({ .m_id = "i-planner-1",
                         .m_service = "service",
                         .m_zone = "ostland-a",
                         .m_workOf = WorkOf,
                         .m_store = store,
                         .m_record = aRecord });
  runner.Register();
  InstanceOptions one = MakeInstanceOptions(
    "front-ostland-a-1", "ostland", aArguments, store.LocalAddress(), aRecord);
  InstanceOptions two = MakeInstanceOptions(
    "front-ostland-a-2", "ostland", aArguments, store.LocalAddress(), aRecord);
  one.m_seeds = { one.m_addresses.m_peer, two.m_addresses.m_peer };
  two.m_seeds = one.m_seeds;
  Instance first(one);
  Instance second(two);
  first.Start();
  second.Start();
  if (!first.WaitUntilReady(SteadyClock::now() + kStartTimeout) ||
      !second.WaitUntilReady(SteadyClock::now() + kStartTimeout)) {
    throw CannotRun("an instance did not become ready");
  }
  std::this_thread::sleep_for(kContactTime);

  if (aArguments.m_hasTrouble) {
    first.Send(SIGTERM);
  }
  std::this_thread::sleep_for(kBetweenStops - 100ms);
  Clients clients = ConnectClients(second, aRecord);
  const SteadyTime stopAt = SteadyClock::now();
  if (aArguments.m_hasTrouble) {
    second.Send(SIGTERM);
  }
  RenewAddresses({ &first, &second }, stopAt + kSendAfter[0], aRecord);
  const std::ptrdiff_t lost = SendLongRequests(clients, stopAt, runner);
  if (aArguments.m_hasTrouble) {
    second.WaitUntilEnded(SteadyClock::now() + 3s);
  }
  aRecord.Write(std::to_string(lost) + " of " + std::to_string(clients.size()) +
                " requests were passed on to a runner and not answered whole");
  return lost == 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  RunCase(aCount, aArguments, RunShutdown);
}
