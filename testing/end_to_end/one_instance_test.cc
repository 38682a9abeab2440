// End-to-end tests of one instance with one engine and one service, which run
// as separate processes.

#include "rattanweir/base/asio/asio.h"

#include "testing/harness/caller.h"
#include "testing/harness/fleet.h"
#include "testing/raw_peer/raw_peer.h"

#include <catch2/catch.hpp>

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <csignal>
#include <map>
#include <thread>

namespace rattanweir::testing {

namespace {

using namespace std::chrono_literals;

const std::string kInstance = "ostland-1";
const std::string kEngine = "engine-ostland";
const std::string kService = "service-ostland";

struct RefusalCase
{
  std::string m_name;
  HttpRequest m_request;
  std::string m_result;
};

const HttpField kGoodKey{ .m_name = "authorization",
                          .m_value = "Bearer secret-of-parents" };
const HttpField kSmallKey{ .m_name = "x-api-key",
                           .m_value = "secret-of-small" };
const HttpField kBadKey{ .m_name = "x-api-key", .m_value = "no-such-key" };
const HttpField kBadIdempotencyKey{ .m_name = "idempotency-key",
                                    .m_value = "made up" };
const std::string kChatBody =
  R"({"marker":"x","model":"guide","prompt":"p","max_tokens":2})";

const std::vector<RefusalCase> kRefusals = {
  { "unknown route", { "POST", "/nowhere", { kGoodKey }, kChatBody }, "104" },
  { "no key", { "POST", "/v1/chat", {}, kChatBody }, "105" },
  { "unknown key", { "POST", "/v1/chat", { kBadKey }, kChatBody }, "106" },
  { "request exceeds the burst",
    { "POST",
      "/v1/chat",
      { kSmallKey },
      R"({"prompt":"p","max_tokens":9999})" },
    "108" },
  { "malformed idempotency key",
    { "POST", "/bookings", { kGoodKey, kBadIdempotencyKey }, "{}" },
    "109" },
};

struct EngineFault
{
  std::string m_name;
  std::string m_switch;
};

// Each fault takes effect once.
const std::vector<EngineFault> kEngineFaults = {
  { "the stream breaks", R"([{"name":"break_after","value":3,"times":1}])" },
  { "the stream breaks before its first token",
    R"([{"name":"break_after","value":0,"times":1}])" },
  { "a response to another attempt",
    R"([{"name":"wrong_attempt_id","times":1}])" },
  { "refused as not run", R"([{"name":"refuse_not_run","times":1}])" },
  { "reset before the run", R"([{"name":"reset_before_run","times":1}])" },
  { "the stream ends properly after too few tokens",
    R"([{"name":"short_end","value":3,"times":1}])" },
  { "each event twice", R"([{"name":"duplicate_bytes","times":1}])" },
};

} // namespace

TEST_CASE("Responses are complete and no API key is forwarded to a server")
{
  Fleet fleet({});
  WaitUntilAllServe(fleet);
  Caller caller(fleet, kInstance);
  for (const CallKind kind :
       { CallKind::Stream, CallKind::Text, CallKind::Booking }) {
    const CallerRecord call = caller.Call({ .m_kind = kind });
    CHECK(call.m_status == 200);
    CHECK(call.m_isComplete);
    CHECK(IsExpectedResponse(call));
  }
  CHECK(Describe(fleet.StopAndCheckHistory()) == "");
}

TEST_CASE(
  "A booking repeated under its key runs once and gets the same response")
{
  Fleet fleet({});
  WaitUntilAllServe(fleet);
  Caller caller(fleet, kInstance);
  CallOptions booking{ .m_kind = CallKind::Booking,
                       .m_idempotencyKey = caller.IssueKey(),
                       .m_marker = fleet.NewMarker() };
  REQUIRE_FALSE(booking.m_idempotencyKey.empty());
  const CallerRecord first = caller.Call(booking);
  const CallerRecord second = caller.Call(booking);
  CHECK(first.m_status == 200);
  CHECK(second.m_response == first.m_response);
  CHECK(fleet.CountRecords(kService, "run") == 1);

  booking.m_marker = fleet.NewMarker();
  caller.Call(booking);
  CHECK(caller.LastResult() == "111");
  CHECK(Describe(fleet.StopAndCheckHistory()) == "");
}

TEST_CASE("Each invalid request is refused with its result code")
{
  Fleet fleet({});
  WaitUntilAllServe(fleet);
  const std::size_t before = fleet.CountRecords(kEngine, "received");
  for (const RefusalCase& each : kRefusals) {
    CAPTURE(each.m_name);
    HttpConnection connection(fleet.CallerAddress(kInstance),
                              kConditionTimeout);
    const HttpResponse response = connection.Send(each.m_request);
    CHECK(FieldOf(response.m_headers, "rattanweir-result") == each.m_result);
    CHECK(FieldOf(response.m_headers, "rattanweir-ran") == "no");
    CHECK(ParseJson(response.m_body)["code"].asString() == each.m_result);
  }
  CHECK(fleet.CountRecords(kEngine, "received") == before);
  CHECK(fleet.CountRecords(kService, "received") == 0);
}

TEST_CASE("A newer published version takes effect and an older one never does")
{
  Fleet fleet({});
  WaitUntilAllServe(fleet);
  for (const std::uint64_t version : { 5, 3, 9 }) {
    fleet.PublishKeys(version);
    if (version == 3) {
      continue;
    }
    WaitUntil("the published version to be in force",
              [&] { return fleet.VersionOf(kInstance, "keys") == version; });
  }
  CHECK(Describe(fleet.StopAndCheckHistory()) == "");
}

TEST_CASE("A withdrawn key ends a running stream with an error event")
{
  Fleet fleet({});
  WaitUntilAllServe(fleet);
  Caller caller(fleet, kInstance);
  bool isWithdrawn = false;
  const CallerRecord call =
    caller.Call({ .m_clientAccount = "teachers", .m_maxTokens = 9000 },
                [&](const std::string&) {
                  if (!isWithdrawn) {
                    fleet.WithdrawKey("teachers-key");
                    isWithdrawn = true;
                  }
                  return true;
                });
  CHECK_FALSE(call.m_isComplete);
  const std::size_t last = call.m_response.rfind("event: error");
  REQUIRE(last != std::string::npos);
  CHECK(call.m_response.find("\"code\":407", last) != std::string::npos);
  caller.Call({ .m_clientAccount = "teachers" });
  CHECK(caller.LastResult() == "106");
  WaitUntil("the engine to record a cancelled request",
            [&] { return fleet.CountRecords(kEngine, "cancelled") == 1; });
  CHECK(Describe(fleet.StopAndCheckHistory()) == "");
}

TEST_CASE("A graceful shutdown completes all requests in flight")
{
  constexpr int kStreams = 8;
  Fleet fleet({});
  WaitUntilAllServe(fleet);
  fleet.Switch(kService, R"([{"name":"delay","value":500}])");
  std::atomic<int> streaming = 0;
  std::vector<std::jthread> callers;
  callers.reserve(kStreams + 1);
  for (int i = 0; i < kStreams; ++i) {
    callers.emplace_back([&] {
      bool isFirst = true;
      Caller(fleet, kInstance)
        .Call({ .m_maxTokens = 300 }, [&](const std::string&) {
          streaming += isFirst ? 1 : 0;
          isFirst = false;
          return true;
        });
    });
  }
  callers.emplace_back(
    [&] { Caller(fleet, kInstance).Call({ .m_kind = CallKind::Booking }); });
  WaitUntil("all requests to be in flight", [&] {
    return streaming == kStreams &&
           fleet.CountRecords(kService, "received") == 1;
  });
  fleet.Drain(kInstance);
  for (std::jthread& caller : callers) {
    caller.join();
  }
  CHECK(fleet.Instance(kInstance).WaitForExit() == 0);
  CHECK(Describe(fleet.StopAndCheckHistory()) == "");
}

// Guards against a shutdown that ends an accepted request without an answer.
TEST_CASE("A shutdown answers what outlives it and serves what arrives slowly")
{
  Fleet fleet({ .m_bookingDeadline = "8s", .m_shutdownTimeout = "3s" });
  WaitUntilAllServe(fleet);
  // Bookings take longer than the shutdown timeout.
  fleet.Switch(kService, R"([{"name":"delay","value":6000}])");
  const auto post = [](const std::string& aPath, const std::string& aBody) {
    return "POST " + aPath +
           " HTTP/1.1\r\nhost: x\r\nauthorization: Bearer "
           "secret-of-parents\r\ncontent-type: application/json\r\n"
           "content-length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  };
  const std::string booking = post("/bookings", R"({"marker":"b"})");
  const std::string chat = post("/v1/chat", kChatBody);
  const std::string stream =
    post("/v1/chat",
         R"({"marker":"s","model":"guide","prompt":"p","max_tokens":4000,)"
         R"("stream":true})");
  constexpr std::size_t kLateBytes = 5;
  const auto firstPart = [](const std::string& aText) {
    return aText.substr(0, aText.size() - kLateBytes);
  };
  const auto lastPart = [](const std::string& aText) {
    return aText.substr(aText.size() - kLateBytes);
  };
  asio::io_context context;
  std::map<std::string, std::string> responses;
  RunTask(context, [&]() -> Task<void> {
    std::map<std::string, RawPeer> callers;
    for (const char* name :
         { "long", "stream", "slow", "late", "late long", "never" }) {
      RawPeer caller =
        co_await RawPeer::Connect(context, fleet.CallerAddress(kInstance));
      callers.emplace(name, std::move(caller));
    }
    co_await callers.at("long").Write(booking);
    co_await callers.at("stream").Write(stream);
    for (const char* name : { "slow", "late", "never" }) {
      co_await callers.at(name).Write(firstPart(chat));
    }
    co_await callers.at("late long").Write(firstPart(booking));
    WaitUntil("the long requests to be in flight", [&] {
      return fleet.CountRecords(kService, "received") == 1 &&
             fleet.CountRecords(kEngine, "received") >= 1;
    });
    fleet.Drain(kInstance);
    asio::steady_timer timer(context, 1s);
    co_await timer.async_wait(asio::use_awaitable);
    co_await callers.at("slow").Write(lastPart(chat));
    timer.expires_after(1'500ms);
    co_await timer.async_wait(asio::use_awaitable);
    co_await callers.at("late").Write(lastPart(chat));
    co_await callers.at("late long").Write(lastPart(booking));
    for (auto& [name, caller] : callers) {
      responses[name] = co_await caller.ReadToEnd();
      caller.Close();
    }
  });
  CHECK(responses["slow"].starts_with("HTTP/1.1 200"));
  CHECK(responses["late"].starts_with("HTTP/1.1 200"));
  CHECK(responses["long"].find("rattanweir-ran: maybe") != std::string::npos);
  CHECK(responses["late long"].find("rattanweir-ran: ") != std::string::npos);
  CHECK(responses["never"].find("rattanweir-ran: no") != std::string::npos);
  CHECK(responses["stream"].find("event: error") != std::string::npos);
  CHECK(fleet.Instance(kInstance).WaitForExit() == 0);
}

TEST_CASE("A drain ends only after all admin responses are complete")
{
  Fleet fleet({});
  fleet.WaitUntilReady();
  std::string status;
  asio::io_context context;
  std::exception_ptr failure;
  const auto ask = [&]() -> Task<void> {
    RawPeer slow =
      co_await RawPeer::Connect(context, fleet.AdminAddress(kInstance));
    co_await slow.Write(
      "GET /livez HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n{");
    const HttpResponse drain = fleet.Admin(kInstance, "/drain", "POST");
    CHECK(drain.m_isComplete);
    CHECK(drain.m_body == R"({"draining":true})");
    co_await slow.Write("}");
    status = co_await slow.ReadToEnd();
  };
  asio::co_spawn(context, ask(), [&](const std::exception_ptr& aError) {
    failure = aError;
  });
  context.run();
  REQUIRE_FALSE(failure);
  CHECK(status.starts_with("HTTP/1.1 200"));
  CHECK(status.ends_with(R"({"live":true})"));
  CHECK(fleet.Instance(kInstance).WaitForExit() == 0);
}

TEST_CASE("No engine fault makes a truncated or foreign response look complete")
{
  Fleet fleet({});
  WaitUntilAllServe(fleet);
  Caller caller(fleet, kInstance);
  for (const EngineFault& fault : kEngineFaults) {
    CAPTURE(fault.m_name);
    fleet.Switch(kEngine, fault.m_switch);
    const CallerRecord faulty = caller.Call({});
    CAPTURE(faulty.m_status, faulty.m_response);
    CHECK((!faulty.m_isComplete || faulty.m_status != 200 ||
           IsExpectedResponse(faulty)));
    WaitUntil("a complete response after the fault", [&] {
      const CallerRecord call = caller.Call({});
      return call.m_status == 200 && IsExpectedResponse(call);
    });
  }
  CHECK(Describe(fleet.StopAndCheckHistory()) == "");
}

TEST_CASE("A stream whose engine is killed ends with an error event")
{
  Fleet fleet({});
  WaitUntilAllServe(fleet);
  Caller caller(fleet, kInstance);
  const CallerRecord call =
    caller.Call({ .m_maxTokens = 5000 }, [&](const std::string&) {
      fleet.Server(kEngine).Signal(SIGKILL);
      return true;
    });
  CHECK(call.m_status == 200);
  CHECK_FALSE(call.m_isComplete);
  CHECK(call.m_response.find("event: error") != std::string::npos);
  CHECK(Describe(fleet.StopAndCheckHistory()) == "");
}

struct ServiceFault
{
  std::string m_switch;
  std::string m_ran;
  std::size_t m_runs;
};

TEST_CASE("A failed booking reports correctly whether it ran")
{
  const std::vector<ServiceFault> faults = {
    { "refuse_not_run", "no", 0 },      { "reset_before_run", "maybe", 0 },
    { "reset_after_run", "maybe", 1 },  { "answer_late", "maybe", 1 },
    { "wrong_attempt_id", "maybe", 1 },
  };
  Fleet fleet({ .m_bookingDeadline = "1s" });
  WaitUntilAllServe(fleet);
  for (const ServiceFault& fault : faults) {
    CAPTURE(fault.m_switch);
    Caller caller(fleet, kInstance);
    const std::size_t before = fleet.CountRecords(kService, "run");
    const std::string name = R"([{"name":")" + fault.m_switch + R"(",)";
    fleet.Switch(kService, name + R"("value":6000}])");
    const CallerRecord call = caller.Call({ .m_kind = CallKind::Booking });
    fleet.Switch(kService, name + R"("times":0}])");
    CHECK(call.m_ran == fault.m_ran);
    CHECK(fleet.CountRecords(kService, "run") - before == fault.m_runs);
  }
  CHECK(Describe(fleet.StopAndCheckHistory()) == "");
}

} // namespace rattanweir::testing
