#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/packed_rpc/control_caller.h"
#include "rattanweir/connection/packed_rpc/packed_rpc.h"

#include "rattanweir/base/clock/manual_clock.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <utility>

namespace rattanweir {
namespace {

using std::chrono::seconds;

void
RegisterDouble(PackedDispatcher& aDispatcher)
{
  aDispatcher.Register(
    "double", [](const PackedValue& aParameters, PackedWriter& aResult) {
      aResult.pack(2 * ReadUnsigned(aParameters, "value"));
    });
}

std::string
DoubleCall(std::uint64_t aValue)
{
  return EncodePackedCall("double",
                          [&](PackedWriter& aWriter) { aWriter.pack(aValue); });
}

std::uint64_t
ReadNumberOf(const std::string& aResponse)
{
  std::uint64_t number = 0;
  DecodePackedResponse(aResponse, [&](const PackedValue& aResult) {
    number = ReadUnsigned(aResult, "result");
  });
  return number;
}

TEST_CASE("a packed call returns its result")
{
  PackedDispatcher dispatcher;
  RegisterDouble(dispatcher);
  const std::string call = DoubleCall(21);
  CHECK(IsPacked(call));
  CHECK(ReadNumberOf(dispatcher.Handle(call)) == 42);
}

TEST_CASE("a rejected packed call returns the error message to the caller")
{
  PackedDispatcher dispatcher;
  RegisterDouble(dispatcher);
  const std::string call = EncodePackedCall(
    "double", [](PackedWriter& aWriter) { aWriter.pack("many"); });
  CHECK_THROWS_WITH(ReadNumberOf(dispatcher.Handle(call)),
                    Catch::Contains("value: expected a non-negative integer"));
  const std::string unknown = EncodePackedCall(
    "halve", [](PackedWriter& aWriter) { aWriter.pack_nil(); });
  CHECK_THROWS_WITH(ReadNumberOf(dispatcher.Handle(unknown)),
                    Catch::Contains("method halve is unknown"));
}

TEST_CASE("a damaged packed call gets an error response")
{
  PackedDispatcher dispatcher;
  RegisterDouble(dispatcher);
  const std::string call = DoubleCall(21);
  std::vector<std::string> damaged = {
    "",
    "{}",
    call + "x",
    // An array that claims 2^32 - 1 elements.
    "\xdd\xff\xff\xff\xff",
    // Arrays in arrays.
    std::string(100, '\x91') + "\xc0",
    // Another format.
    "\x93\x07" + call.substr(2),
    // A string that claims more bytes than there are.
    std::string("\x93\x01\xdb\xff\xff\xff\xff") + "double",
    // A map, which no message holds.
    "\x81\x01\x01",
  };
  for (std::size_t length = 1; length < call.size(); ++length) {
    damaged.push_back(call.substr(0, length));
  }
  for (const std::string& text : damaged) {
    CAPTURE(text);
    CHECK_THROWS_AS(ReadNumberOf(dispatcher.Handle(text)), RpcError);
  }
}

TEST_CASE("a damaged packed response throws RpcError")
{
  PackedDispatcher dispatcher;
  RegisterDouble(dispatcher);
  const std::string response = dispatcher.Handle(DoubleCall(21));
  for (std::size_t length = 0; length < response.size(); ++length) {
    CAPTURE(length);
    CHECK_THROWS_AS(ReadNumberOf(response.substr(0, length)), RpcError);
  }
}

class ImmediateExchange final : public UpstreamExchange
{
public:
  explicit ImmediateExchange(std::string aBody)
    : m_body(std::move(aBody))
  {
  }
  Task<ResponseHead> ReadHead() override
  {
    co_return ResponseHead{ .m_status = 200 };
  }
  Task<std::optional<std::string>> ReadChunk() override
  {
    co_return std::exchange(m_body, std::nullopt);
  }

private:
  std::optional<std::string> m_body;
};

// A peer that can be replaced by one of an earlier release.
class Peer final : public Upstream
{
public:
  Peer()
  {
    RegisterDouble(m_dispatcher);
    m_jsonDispatcher.Register("double", [](const Json::Value& aParameters) {
      Json::Value result;
      result["value"] = 2 * aParameters["value"].asUInt();
      return result;
    });
  }

  Task<std::unique_ptr<UpstreamExchange>> Send(
    Endpoint /*aEndpoint*/,
    OutboundRequest aRequest,
    CancelSource& /*aCancel*/) override
  {
    const std::string& body = *aRequest.m_body;
    const bool isPacked = IsPacked(body);
    m_packedCalls += isPacked ? 1 : 0;
    m_jsonCalls += isPacked ? 0 : 1;
    co_return std::make_unique<ImmediateExchange>(
      isPacked && !m_isOfEarlierRelease ? m_dispatcher.Handle(body)
                                        : m_jsonDispatcher.Handle(body));
  }

  PackedDispatcher m_dispatcher;
  RpcDispatcher m_jsonDispatcher;
  bool m_isOfEarlierRelease = false;
  int m_packedCalls = 0;
  int m_jsonCalls = 0;
};

TEST_CASE("a peer of an earlier release is called in JSON until it is upgraded")
{
  asio::io_context context;
  ManualClock clock;
  Metrics metrics;
  Peer peer;
  ControlCaller caller(
    { .m_upstream = peer, .m_clock = clock, .m_metrics = metrics });
  std::uint64_t result = 0;
  const auto call = [&] {
    result = 0;
    ControlCall doubling{
      .m_method = "double",
      .m_writeParameters = [](PackedWriter& aWriter) { aWriter.pack(21); },
      .m_readResult =
        [&](const PackedValue& aResult) {
          result = ReadUnsigned(aResult, "result");
        },
      .m_jsonParameters =
        [] {
          Json::Value parameters;
          parameters["value"] = 21;
          return parameters;
        },
      .m_readJsonResult =
        [&](const Json::Value& aResult) {
          result = aResult["value"].asUInt64();
        },
    };
    asio::co_spawn(
      context,
      caller.Call({ .m_address = "10.0.0.1", .m_port = 9 },
                  std::move(doubling),
                  clock.SteadyNow() + seconds(1)),
      [](const std::exception_ptr& aError) { REQUIRE_FALSE(aError); });
    context.restart();
    context.run();
    return result;
  };
  CHECK(call() == 42);
  CHECK(peer.m_jsonCalls == 0);
  peer.m_isOfEarlierRelease = true;
  CHECK(call() == 42);
  CHECK(call() == 42);
  CHECK(peer.m_packedCalls == 2);
  CHECK(peer.m_jsonCalls == 2);
  peer.m_isOfEarlierRelease = false;
  clock.Advance(seconds(61));
  CHECK(call() == 42);
  CHECK(peer.m_packedCalls == 3);
  CHECK(peer.m_jsonCalls == 2);
  CHECK(metrics.Counter("rattanweir_control_double_calls_total") == 3);
}

} // namespace
} // namespace rattanweir
