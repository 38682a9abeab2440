// Fuzz test of every parser of external input: callers, backend servers, peers,
// the platform's store, settings and configuration. A parser must return a
// value or throw the error that its header documents. It must not terminate the
// process, throw another error or run for long.
//
// RATTANWEIR_FUZZ_SEEDS sets the number of seeds. Each failure reports its seed
// and its text.

#include "testing/parser_fuzz/mutator.h"

#include "platform/protocol/platform_protocol.h"
#include "platform/records/records.h"
#include "platform/store/store_items.h"
#include "rattanweir/base/clock/manual_clock.h"
#include "rattanweir/base/json/json.h"
#include "rattanweir/connection/admin/admin_query.h"
#include "rattanweir/connection/gossip/gossip_messages.h"
#include "rattanweir/connection/gossip/packed_gossip.h"
#include "rattanweir/connection/packed_rpc/packed_rpc.h"
#include "rattanweir/connection/rpc/rpc.h"
#include "rattanweir/connection/run_durations/run_durations_exchange.h"
#include "rattanweir/connection/stream_origins/stream_origin_messages.h"
#include "rattanweir/process/idempotency/idempotency_key.h"
#include "rattanweir/process/instance_list/instance_list.h"
#include "rattanweir/process/settings/settings.h"
#include "rattanweir/request/body/request_body.h"
#include "rattanweir/request/relay/event_splitter.h"
#include "rattanweir/version/section/section.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <functional>

namespace rattanweir {
namespace {

// Mutated texts per parser and seed; all parsers together take a few seconds.
constexpr int kTextsPerSeed = 400;
constexpr std::uint64_t kDefaultSeeds = 5;

struct Parser
{
  std::string m_name;
  // Well-formed texts.
  std::vector<std::string> m_corpus;
  // Calls the parser. Throws only errors that the parser's header does not
  // document.
  std::function<void(const std::string&)> m_parse;
};

std::uint64_t
SeedCount()
{
  const char* text = std::getenv("RATTANWEIR_FUZZ_SEEDS");
  return text == nullptr ? kDefaultSeeds : std::stoull(text);
}

// Wraps a parser and ignores errors of this type.
template<class Error>
std::function<void(const std::string&)>
AllowingError(std::function<void(const std::string&)> aParse)
{
  return [parse = std::move(aParse)](const std::string& aText) {
    try {
      parse(aText);
    } catch (const Error&) {
      // The parser's header documents this error.
      return;
    }
  };
}

void
Fuzz(const Parser& aParser)
{
  for (const std::string& text : aParser.m_corpus) {
    INFO(aParser.m_name << ": " << text);
    REQUIRE_NOTHROW(aParser.m_parse(text));
  }
  for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    Mutator mutator(seed);
    for (int number = 0; number < kTextsPerSeed; ++number) {
      const std::string text = mutator.Mutate(aParser.m_corpus);
      INFO(aParser.m_name << ", seed " << seed << ", text " << number << ": "
                          << Catch::Detail::stringify(text));
      REQUIRE_NOTHROW(aParser.m_parse(text));
    }
  }
}

const std::string kServer =
  R"({"service":"chat","address":"10.0.0.9:8080","zone":"north-a",)"
  R"("version":"v1","slots":64,"state":"ready","coldRemainingMs":1500,)"
  R"("born":1700000000123,"models":[{"name":"m","version":1}],"sequence":4})";

const std::string kConfig =
  R"({"version":7,"routes":[{"name":"a","host":"x.example","prefix":"/a/",)"
  R"("kind":"streaming","timeoutMs":4000.5,"targetLatencyMs":600,)"
  R"("priority":0,"trafficSplit":[{"service":"chat","weight":90},)"
  R"({"service":"desk","weight":10}],"attempts":2,"resumable":true,)"
  R"("homeRegions":["north"]}],"services":[{"name":"chat",)"
  R"("healthPath":"/health","maxConnections":370,"coldStartS":3.5,)"
  R"("coldPerS":9.8,"engine":{"slots":64,"kvCacheTokens":333465,)"
  R"("kvTokenBytes":163840,"linkMbps":1100000.0,"moves":true}},)"
  R"({"name":"desk","maxConnections":110}],"limits":{"maxHeaderBytes":16384,)"
  R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
  R"("tenants":[{"name":"anna","apiKeys":["k1","k2"],"priority":1,)"
  R"("unit":"tokens","plainTokens":200,"ratePerS":477,"burst":477,)"
  R"("homeRegions":["north"]}]})";

// Returns the parsed JSON, or null for malformed JSON, which never reaches the
// parser under test.
Json::Value
ParseJsonOrNull(const std::string& aText)
{
  return ParseJson(aText).value_or(Json::Value());
}

// Parses one `name: value` header field per line.
HeaderFields
ParseHeaderLines(const std::string& aText)
{
  HeaderFields fields;
  std::size_t begin = 0;
  while (begin < aText.size()) {
    const std::size_t end = std::min(aText.find('\n', begin), aText.size());
    const std::string line = aText.substr(begin, end - begin);
    const std::size_t colon = line.find(": ");
    if (colon != std::string::npos) {
      fields.push_back({ line.substr(0, colon), line.substr(colon + 2) });
    }
    begin = end + 1;
  }
  return fields;
}

SectionText
Section(const std::string& aText)
{
  return { .m_file = "fuzz.yaml", .m_text = aText };
}

} // namespace

TEST_CASE("no malformed store record terminates a reader")
{
  using namespace platform;
  Fuzz({ .m_name = "server record",
         .m_corpus = { kServer },
         .m_parse = AllowingError<RecordError>(
           [](const std::string& aText) { DecodeServer("s1", aText); }) });
  Fuzz({ .m_name = "configuration record",
         .m_corpus = { kConfig, R"({"version":1})" },
         .m_parse = AllowingError<RecordError>(
           AllowingError<FleetConfigError>([](const std::string& aText) {
             const FleetConfig config(DecodeConfig(aText));
             config.FindRoute("x.example", "/a/1");
           })) });
  Fuzz({ .m_name = "store page",
         .m_corpus = { R"({"items":[{"key":"servers/a","value":"e30=",)"
                       R"("revision":4},{"key":"b","tombstone":true,)"
                       R"("revision":5}],"truncated":false,"at":5})" },
         .m_parse = AllowingError<StoreError>([](const std::string& aText) {
           ParsePage(ParseJsonOrNull(aText));
         }) });
  Fuzz({ .m_name = "store events",
         .m_corpus = { R"({"events":[{"key":"servers/a","value":"e30=",)"
                       R"("revision":4}],"at":5})" },
         .m_parse = AllowingError<StoreError>([](const std::string& aText) {
           ParseEvents(ParseJsonOrNull(aText));
         }) });
  Fuzz({ .m_name = "base64",
         .m_corpus = { "aGVsbG8=", "" },
         .m_parse = AllowingError<StoreError>(
           [](const std::string& aText) { DecodeBase64(aText); }) });
}

TEST_CASE(
  "no malformed input from a caller or a backend server crashes an instance")
{
  const platform::PlatformProtocol protocol;
  Fuzz({ .m_name = "request header",
         .m_corpus = { "Host: x.example\n"
                       "Rattanweir-Request-Id: 9c41d07be2a35f68\n"
                       "Rattanweir-Model: m\n"
                       "Rattanweir-Token-Counts: 1460,80\n"
                       "Rattanweir-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\n"
                       "Rattanweir-Deadline-Ms: 6000\n"
                       "Last-Event-Id: 7\n"
                       "Rattanweir-Credential: k1\n" },
         .m_parse = AllowingError<RequestError>([&](const std::string& aText) {
           const InboundRequest request{ .m_method = "POST",
                                         .m_target = "/a/1",
                                         .m_headers = ParseHeaderLines(aText) };
           protocol.ReadRequestId(request);
           const RequestInfo info = protocol.ReadRequest(request);
           BuildPartChain("m", info.m_parts);
         }) });
  Fuzz({ .m_name = "response header",
         .m_corpus = { "Rattanweir-Request-Id: 9c41d07be2a35f68\n"
                       "Rattanweir-Response-Seal: 3e1b.07.5a2.600.0.c9\n"
                       "Rattanweir-Server-Load: 3,0,8\n"
                       "Rattanweir-Cold-Ms: 250\n"
                       "Rattanweir-Instance-Id: i-02d9e6b4\n"
                       "Rattanweir-Not-Run: 1\n",
                       "Server-Leaving: 1\nServer-Limit: 2.5\n"
                       "Retry-After: 1.25\n" },
         .m_parse = [&](const std::string& aText) {
           for (const unsigned status : { 200U, 503U }) {
             protocol.ReadResponse(
               { .m_status = status, .m_headers = ParseHeaderLines(aText) });
           }
         } });
  Fuzz({ .m_name = "event stream",
         .m_corpus = { "id: 1\nevent: token\ndata: {\"t\":1}\n\n"
                       "id: 2\ndata: x\r\n\r\n: note\n\ndata: [DONE]\n\n" },
         .m_parse = AllowingError<RequestError>([](const std::string& aText) {
           EventSplitter splitter;
           splitter.Add(aText.substr(0, aText.size() / 2));
           splitter.Add(aText.substr(aText.size() / 2));
         }) });
  Fuzz({ .m_name = "request body",
         .m_corpus = { R"({"model":"m","prompt":"hello","max_tokens":20,)"
                       R"("api_key":"k","nested":{"a":[1,2,{"b":null}]}})" },
         .m_parse = AllowingError<RequestError>([](const std::string& aText) {
           ReadRequestBody({ { "Content-Type", "application/json" } }, aText);
         }) });
  Fuzz({ .m_name = "query",
         .m_corpus = { "a=1&api_key=k%20x&b", "" },
         .m_parse = [](const std::string& aText) {
           RemoveKeyParameters(aText);
         } });
  Fuzz({ .m_name = "idempotency key",
         .m_corpus = { "north-1.5.0123456789abcdef0123456789abcdef" },
         .m_parse = AllowingError<RequestError>(
           [](const std::string& aText) { ParseIdempotencyKey(aText); }) });
}

TEST_CASE("no malformed message from a peer or an operator crashes an instance")
{
  FleetMember member{ .m_id = InstanceId("north-1"),
                      .m_region = RegionId("north") };
  member.m_peerAddress = { "10.0.0.1", 7500 };
  Fuzz({ .m_name = "gossip member records",
         .m_corpus = { JsonText(ToJson(std::vector{ member })) },
         .m_parse = AllowingError<RpcError>([](const std::string& aText) {
           FleetMembersFromJson(ParseJsonOrNull(aText));
         }) });
  Json::Value quarantine;
  const std::vector<BreakReport> breaks = {
    { .m_server = { .m_incarnation = BackendServerId("e@1"),
                    .m_software = "engines v1" } }
  };
  AddQuarantine(
    { { .m_suspect = PromptPartSuspect("a"), .m_breaks = breaks },
      { .m_suspect = { .m_kind = SuspectKind::Request, .m_hash = 7 },
        .m_breaks = breaks } },
    quarantine);
  Fuzz({ .m_name = "gossip quarantine",
         .m_corpus = { JsonText(quarantine) },
         .m_parse = AllowingError<RpcError>([](const std::string& aText) {
           QuarantineFromJson(ParseJsonOrNull(aText));
         }) });
  Fuzz({ .m_name = "published topic",
         .m_corpus = { JsonText(ToJson(TopicSnapshot{})) },
         .m_parse = AllowingError<RpcError>([](const std::string& aText) {
           TopicSnapshotFromJson(ParseJsonOrNull(aText));
         }) });
  Fuzz({ .m_name = "rpc response",
         .m_corpus = { R"({"jsonrpc":"2.0","id":1,"result":{"a":1}})",
                       R"({"jsonrpc":"2.0","id":1,"error":{"code":-1,)"
                       R"("message":"no"}})" },
         .m_parse = AllowingError<RpcError>(
           [](const std::string& aText) { DecodeRpcResponse(aText); }) });
  Fuzz({ .m_name = "admin target",
         .m_corpus = { "/explain?request=12&full=%41", "/status" },
         .m_parse = AllowingError<RequestError>(
           [](const std::string& aText) { ParseAdminTarget(aText); }) });
}

// Damages a packed response whose result `aWrite` writes.
void
FuzzPacked(const char* aName,
           const WritePacked& aWrite,
           const ReadPacked& aRead)
{
  PackedDispatcher dispatcher;
  dispatcher.Register(
    "x", [&](const PackedValue&, PackedWriter& aResult) { aWrite(aResult); });
  const std::string call =
    EncodePackedCall("x", [](PackedWriter& aWriter) { aWriter.pack_nil(); });
  Fuzz({ .m_name = aName,
         .m_corpus = { dispatcher.Handle(call) },
         .m_parse = AllowingError<RpcError>([&](const std::string& aText) {
           DecodePackedResponse(aText, aRead);
         }) });
}

TEST_CASE("no malformed packed message from a peer crashes an instance")
{
  FleetMember member{ .m_id = InstanceId("north-1"),
                      .m_region = RegionId("north") };
  member.m_peerAddress = { "10.0.0.1", 7500 };
  PackedDispatcher packed;
  ManualClock clock;
  const FleetView fleet({ .m_clock = clock, .m_self = {} });
  packed.Register("gossip", [&](const PackedValue& aValue, PackedWriter&) {
    const auto fields = ReadArray(aValue, "message", 2);
    ReadRecords(fields[0], fleet);
    ReadSuspects(fields[1]);
  });
  Fuzz({ .m_name = "packed gossip call",
         .m_corpus = { EncodePackedCall("gossip",
                                        [&](PackedWriter& aWriter) {
                                          aWriter.pack_array(2);
                                          WriteRecords(
                                            { OutgoingRecord{ member } },
                                            aWriter);
                                          WriteSuspects({}, aWriter);
                                        }) },
         .m_parse = [&](const std::string& aText) { packed.Handle(aText); } });
  FuzzPacked(
    "packed topic",
    [](PackedWriter& aWriter) {
      WriteTopicUpdate(TopicSnapshot{ .m_items = { { "a", "b" } } }, aWriter);
    },
    [](const PackedValue& aValue) { ReadTopicUpdate(aValue); });
  FuzzPacked(
    "packed stream origins",
    [](PackedWriter& aWriter) {
      WriteBatches({ { { .m_pool = PoolId("p"), .m_version = "v1" },
                       { .m_keys = { StreamKeyOfContent(7) } } } },
                   aWriter);
    },
    [](const PackedValue& aValue) { ReadBatches(aValue); });
  FuzzPacked(
    "packed stream origin",
    [](PackedWriter& aWriter) {
      const StreamOrigin origin{ .m_pool = PoolId("p"), .m_version = "v1" };
      WriteAnswer({ .m_found = { .m_origin = origin } }, aWriter);
    },
    [](const PackedValue& aValue) { ReadAnswer(aValue); });
  FuzzPacked(
    "packed run durations",
    [](PackedWriter& aWriter) {
      const RunClass runClass{ .m_route = RouteId("r"), .m_pool = PoolId("p") };
      WriteRunSummaries({ { runClass, { .m_count = 3 } } }, aWriter);
    },
    [](const PackedValue& aValue) { ReadRunSummaries(aValue); });
}

TEST_CASE("no malformed settings or configuration file crashes an instance")
{
  Fuzz(
    { .m_name = "settings",
      .m_corpus = { "instance: a\nregion: north\navailability_zone: north-a\n"
                    "addresses:\n  caller: 127.0.0.1:18080\n"
                    "  peer: 127.0.0.1:18081\n  admin: 127.0.0.1:18082\n"
                    "fleet:\n  store: 127.0.0.1:9\n"
                    "  directory_address: 127.0.0.1:10\n"
                    "  readiness_address: 127.0.0.1:11\n"
                    "  seeds: [127.0.0.1:12]\n"
                    "  availability_zones:\n    - id: north-a\n"
                    "      region: north\n"
                    "log:\n  level: info\n  format: key_value\n" },
      .m_parse = AllowingError<SectionError>(
        [](const std::string& aText) { ParseSettings(Section(aText)); }) });
  Fuzz({ .m_name = "instance list",
         .m_corpus = { "instances:\n  - id: a\n    region: local\n"
                       "    availability_zone: local-a\n"
                       "    caller_address: 127.0.0.1:18080\n"
                       "    peer_address: 127.0.0.1:18081\n" },
         .m_parse = AllowingError<SectionError>([](const std::string& aText) {
           ParseInstanceList(Section(aText));
         }) });
  Fuzz({ .m_name = "routes",
         .m_corpus = { "version: 1\nroutes:\n  - id: chat\n"
                       "    path: /v1/chat\n    idempotent: true\n"
                       "    residency: any\n"
                       "    cost: { default_max_tokens: 256 }\n"
                       "    deadline: 30s\n    pool: engines\n" },
         .m_parse = AllowingError<SectionError>(
           [](const std::string& aText) { ParseRoutes(Section(aText)); }) });
  Fuzz({ .m_name = "client accounts",
         .m_corpus = { "version: 1\nmaximum_instances: 1\n"
                       "client_accounts:\n  - id: quickstart\n"
                       "    rate_tokens_per_second: 100000\n"
                       "    burst_tokens: 200000\n" },
         .m_parse = AllowingError<SectionError>([](const std::string& aText) {
           ParseClientAccounts(Section(aText));
         }) });
  Fuzz({ .m_name = "backend servers",
         .m_corpus = { "version: 1\nbackend_servers:\n  - id: engine-1\n"
                       "    pool: engines\n    kind: model_engine\n"
                       "    region: local\n    availability_zone: local-a\n"
                       "    address: 127.0.0.1:18090\n"
                       "    echoes_attempt_id: true\n"
                       "    maximum_in_flight: 32\n" },
         .m_parse = AllowingError<SectionError>([](const std::string& aText) {
           ParseBackendServers(Section(aText));
         }) });
}

} // namespace rattanweir
