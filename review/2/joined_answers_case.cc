// A runner answers a streamed request with an error and breaks off within its
// body; another runner answers the same request with a stream.

#include "review/support/case.h"
#include "review/support/configuration.h"
#include "review/support/platform_store.h"

#include <atomic>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace {

using namespace review;
using namespace std::chrono_literals;

// `garble`: a share of the runners (0.6) break off x (0.03) of their answers
// for some seconds. Here 1 answer in 80 of all runners is broken off.
constexpr unsigned kRequests = 400;
constexpr unsigned kRequestsPerBrokenOff = 80;
constexpr unsigned kClients = 20;
constexpr auto kStartTimeout = 10s;
constexpr auto kContactTime = 5s;
constexpr const char* kErrorText =
  R"({"error":{"code":404,"message":"the model is not loaded here, )";
const Work kStream{ .m_untilFirst = 20ms, .m_events = 6, .m_interval = 20ms };

// The first run of one request in 80 breaks off within an error, every other
// run succeeds.
class Runs
{
public:
  Work WorkOf(const Request& aRequest)
  {
    const std::string* id =
      FindHeader(aRequest.m_headers, "Rattanweir-Request-Id");
    const std::lock_guard lock(m_mutex);
    const bool isFirst =
      m_seen.insert(id == nullptr ? std::string() : *id).second;
    if (!m_breaksOff || !isFirst ||
        m_seen.size() % kRequestsPerBrokenOff != 0) {
      return kStream;
    }
    return { .m_untilFirst = 20ms,
             .m_interval = 50ms,
             .m_brokenOffText = kErrorText,
             .m_status = "404 Not Found" };
  }
  void BreakOff() { m_breaksOff = true; }

private:
  std::mutex m_mutex;
  std::set<std::string> m_seen;
  std::atomic<bool> m_breaksOff = false;
};

// Broken if an answer looks complete, but is not the whole answer of one run: a
// stream whose text begins with its first event, or an error without one.
bool
IsJoined(const std::optional<Response>& aResponse)
{
  if (!aResponse || !aResponse->m_isComplete) {
    return false;
  }
  const bool hasEvents = aResponse->m_body.find("id: 1\n") != std::string::npos;
  const bool hasError = aResponse->m_body.find(kErrorText) != std::string::npos;
  return hasError || (aResponse->m_status != 200 && hasEvents);
}

// Sends one request; returns whether its answer is joined from two runs.
bool
Ask(const Address& aInstance, const std::string& aId, Record& aRecord)
{
  Connection connection(Connect(aInstance));
  connection.Write(RequestText({ .m_id = aId, .m_deadlineMs = 4'000 }));
  const auto response = connection.ReadResponse(SteadyClock::now() + 5s);
  aRecord.Write("a client gets for " + aId + ": " + Describe(response));
  if (!IsJoined(response)) {
    return false;
  }
  aRecord.Write("the body for " + aId + ":\n" + response->m_body);
  return true;
}

bool
RunJoinedAnswers(const CaseArguments& aArguments, Record& aRecord)
{
  static PlatformStore store;
  store.Put("op/config",
            ConfigurationText({ .m_kind = "streaming",
                                .m_isResumable = true,
                                .m_attempts = 2,
                                .m_timeoutMs = 4'000 }));
  static Runs runs;
  RunnerOptions options{
    .m_id = "i-1",
    .m_service = "service",
    .m_zone = "ostland-a",
    .m_workOf = [](const Request& aRequest) { return runs.WorkOf(aRequest); },
    .m_store = store,
    .m_record = aRecord
  };
  static Runner one(options);
  options.m_id = "i-2";
  static Runner two(options);
  one.Register();
  two.Register();
  InstanceOptions instanceOptions = MakeInstanceOptions(
    "front-ostland-a-1", "ostland", aArguments, store.LocalAddress(), aRecord);
  instanceOptions.m_seeds = { instanceOptions.m_addresses.m_peer };
  Instance instance(instanceOptions);
  instance.Start();
  if (!instance.WaitUntilReady(SteadyClock::now() + kStartTimeout)) {
    throw CannotRun("the instance did not become ready");
  }
  std::this_thread::sleep_for(kContactTime);
  if (aArguments.m_hasTrouble) {
    runs.BreakOff();
  }
  std::atomic<unsigned> joined = 0;
  std::vector<std::thread> clients;
  for (unsigned client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      for (unsigned number = client; number < kRequests; number += kClients) {
        joined += Ask(instance.Addresses().m_caller,
                      "question-" + std::to_string(number + 1),
                      aRecord)
                    ? 1
                    : 0;
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  aRecord.Write(std::to_string(joined.load()) + " of " +
                std::to_string(kRequests) +
                " answers look complete and are joined from two runs");
  return joined == 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  RunCase(aCount, aArguments, RunJoinedAnswers);
}
