// Stand-in for a model engine: streams tokens that are a pure function of
// prompt and offset.
//
//   stand_in_engine --port 0 --token-interval 5ms
//
// Switches: break_after N, wrong_attempt_id, refuse_not_run, reset_before_run,
// draining, stall_after N, duplicate_bytes, short_end N (ends the chunked
// body after N tokens, without [DONE]).

#include "rattanweir/base/units/units.h"
#include "testing/stand_in/stand_in.h"

#include <gflags/gflags.h>
#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <list>

DEFINE_int32(port, 0, "TCP port; 0 selects a free port");
DEFINE_string(token_interval, "5ms", "time between two tokens");
DEFINE_string(prefill_per_token,
              "10us",
              "time to process a prompt token that is not cached");
DEFINE_string(load_lag, "100ms", "delay of the load reported in x-load");
DEFINE_int32(cached_blocks,
             4096,
             "capacity of the prefix cache, in blocks of 64 bytes");
DEFINE_string(switches, "[]", "fault switches set at startup, as JSON");

namespace rattanweir::testing {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kBlockBytes = 64;
constexpr std::uint64_t kBytesPerToken = 4;

// LRU cache of the hashes of prompt prefixes.
class PrefixCache
{
public:
  // Returns the length in bytes of the prompt's cached prefix, and caches all
  // prefixes of the prompt.
  std::size_t LookUpAndInsert(std::string_view aPrompt)
  {
    const std::lock_guard lock(m_mutex);
    std::size_t cached = 0;
    for (std::size_t end = kBlockBytes; end <= aPrompt.size();
         end += kBlockBytes) {
      const std::uint64_t hash = XXH64(aPrompt.data(), end, 0);
      const auto found = std::find(m_blocks.begin(), m_blocks.end(), hash);
      if (found != m_blocks.end()) {
        cached = end;
        m_blocks.erase(found);
      }
      m_blocks.push_front(hash);
    }
    const auto maxBlocks = static_cast<std::size_t>(FLAGS_cached_blocks);
    m_blocks.resize(std::min(m_blocks.size(), maxBlocks));
    return cached;
  }

private:
  std::mutex m_mutex;
  std::list<std::uint64_t> m_blocks;
};

// Tracks the queued and running tokens, and reports them with a delay of
// --load_lag.
class LoadReport
{
public:
  void Add(std::int64_t aTokens)
  {
    const std::lock_guard lock(m_mutex);
    m_load += aTokens;
    m_samples.push_back({ .m_at = Clock::now(), .m_load = m_load });
  }

  std::int64_t DelayedLoad()
  {
    const std::lock_guard lock(m_mutex);
    const auto before = Clock::now() - ParseDuration(FLAGS_load_lag);
    while (!m_samples.empty() && m_samples.front().m_at <= before) {
      m_reported = m_samples.front().m_load;
      m_samples.pop_front();
    }
    return m_reported;
  }

private:
  struct Sample
  {
    Clock::time_point m_at;
    std::int64_t m_load = 0;
  };

  std::mutex m_mutex;
  std::deque<Sample> m_samples;
  std::int64_t m_load = 0;
  std::int64_t m_reported = 0;
};

// Handles one generation request.
class Generation
{
public:
  Generation(const HttpRequest& aRequest,
             HttpResponder& aResponder,
             Switches& aSwitches,
             LoadReport& aLoad)
    : m_responder(aResponder)
    , m_switches(aSwitches)
    , m_load(aLoad)
    , m_request(FieldOf(aRequest.m_headers, "x-request-id"))
    , m_attempt(FieldOf(aRequest.m_headers, "x-attempt-id"))
    , m_clientAccount(FieldOf(aRequest.m_headers, "x-client-account"))
    , m_body(aRequest.m_body)
  {
    const Json::Value body = ParseJson(aRequest.m_body);
    m_prompt = body["prompt"].asString();
    m_count = body.get("max_tokens", 16).asUInt64();
    m_isStream = body["stream"].asBool();
    const std::string offset = FieldOf(aRequest.m_headers, "x-resume-offset");
    m_offset = offset.empty() ? 0 : std::stoull(offset);
    m_load.Add(static_cast<std::int64_t>(m_count));
  }
  ~Generation() { m_load.Add(-static_cast<std::int64_t>(m_count)); }
  Generation(const Generation&) = delete;
  Generation& operator=(const Generation&) = delete;

  void Run(PrefixCache& aCache)
  {
    Print("run");
    const std::size_t cold = m_prompt.size() - aCache.LookUpAndInsert(m_prompt);
    const auto prefill = ParseDuration(FLAGS_prefill_per_token) *
                         static_cast<long>(cold / kBytesPerToken);
    if (m_responder.WaitForPeerClose(prefill)) {
      Print("cancelled");
      m_responder.AbortConnection();
      return;
    }
    const bool isComplete = Respond();
    Print(isComplete ? "finished" : "cancelled");
    if (!isComplete) {
      m_responder.AbortConnection();
    }
  }

  HttpFields Head(const std::string& aType)
  {
    const bool isWrong = m_switches.Consume("wrong_attempt_id").has_value();
    HttpFields fields = {
      { .m_name = "content-type", .m_value = aType },
      { .m_name = "x-attempt-id",
        .m_value = isWrong ? "another-attempt" : m_attempt },
      { .m_name = "x-load", .m_value = std::to_string(m_load.DelayedLoad()) },
    };
    if (m_switches.Consume("draining")) {
      fields.push_back({ .m_name = "x-draining", .m_value = "1" });
    }
    return fields;
  }

private:
  void Print(std::string_view aEvent) const
  {
    Json::Value record;
    record["request"] = m_request;
    record["attempt"] = m_attempt;
    record["client_account"] = m_clientAccount;
    record["body"] = m_body;
    record["offset"] = Json::UInt64(m_offset);
    PrintRecord(aEvent, record);
  }

  // Returns false if the gateway closed the connection before the last token,
  // whether that is noticed while waiting or by a write that fails. The gateway
  // may close it before the end of a stream whose tokens it has all received.
  bool Respond()
  {
    try {
      return m_isStream ? Stream() : RespondInOnePiece();
    } catch (const HttpError&) {
      return m_isStream && m_offset == m_count;
    }
  }

  bool RespondInOnePiece()
  {
    const auto wait =
      ParseDuration(FLAGS_token_interval) * static_cast<long>(m_count);
    if (m_responder.WaitForPeerClose(wait)) {
      return false;
    }
    Json::Value body;
    body["text"] = TokensOf(m_prompt, m_count);
    body["tokens"] = Json::UInt64(m_count);
    m_responder.Respond(200, Head("application/json"), WriteJson(body));
    return true;
  }

  bool Stream()
  {
    const auto breakAfter = m_switches.Consume("break_after");
    const auto stallAfter = m_switches.Consume("stall_after");
    const auto shortEnd = m_switches.Consume("short_end");
    const bool duplicatesEvents =
      m_switches.Consume("duplicate_bytes").has_value();
    m_responder.StartStream(200, Head("text/event-stream"));
    for (std::int64_t sent = 0; m_offset < m_count; ++m_offset, ++sent) {
      if (breakAfter == sent) {
        return false;
      }
      if (shortEnd == sent) {
        m_responder.FinishStream();
        return true;
      }
      if (m_responder.WaitForPeerClose(
            stallAfter == sent ? std::chrono::hours(1)
                               : ParseDuration(FLAGS_token_interval))) {
        return false;
      }
      WriteEvent();
      if (duplicatesEvents) {
        WriteEvent();
      }
    }
    m_responder.WriteChunk("data: [DONE]\n\n");
    m_responder.FinishStream();
    return true;
  }

  void WriteEvent()
  {
    Json::Value data;
    data["offset"] = Json::UInt64(m_offset);
    data["token"] = TokenOf(m_prompt, m_offset);
    const std::string event =
      "id: " + std::to_string(m_offset) + "\ndata: " + WriteJson(data) + "\n\n";
    m_responder.WriteChunk(event);
  }

  HttpResponder& m_responder;
  Switches& m_switches;
  LoadReport& m_load;
  std::string m_request;
  std::string m_attempt;
  std::string m_clientAccount;
  std::string m_body;
  std::string m_prompt;
  std::uint64_t m_count = 0;
  std::uint64_t m_offset = 0;
  bool m_isStream = false;
};

[[noreturn]] void
RunEngine()
{
  static Switches switches;
  static LoadReport load;
  static PrefixCache cache;
  switches.Set(FLAGS_switches);
  RunStandIn(static_cast<std::uint16_t>(FLAGS_port),
             switches,
             [](const HttpRequest& aRequest, HttpResponder& aResponder) {
               if (switches.Consume("reset_before_run")) {
                 aResponder.AbortConnection();
                 return;
               }
               Generation generation(aRequest, aResponder, switches, load);
               if (switches.Consume("refuse_not_run")) {
                 HttpFields head = generation.Head("text/plain");
                 head.push_back({ .m_name = "x-not-run", .m_value = "1" });
                 aResponder.Respond(503, head, "not run");
                 return;
               }
               generation.Run(cache);
             });
}

} // namespace

} // namespace rattanweir::testing

int
main(int argc, char** argv)
{
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  rattanweir::testing::RunEngine();
}
