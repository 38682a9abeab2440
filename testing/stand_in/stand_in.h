// What the stand-ins share: JSON lines, switches and the token function.
//
// A stand-in takes the place of a server of the platform in tests. It prints
// one JSON line for each thing that it received or did; `at_us` is the wall
// clock in microseconds. Its faults are switches, set when it starts by
// `--switches JSON` or while it runs by `POST /_switch` with the same JSON:
//
//   [{"name": "break_after", "value": 3, "times": 1}]
//
// `times` is how often the switch takes effect, without it always; 0 turns
// it off.

#pragma once

#include "testing/http/http.h"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace rattanweir::testing {

// Token `aOffset` of the answer to a prompt.
std::string
TokenOf(std::string_view aPrompt, std::uint64_t aOffset);

// The first `aCount` tokens, joined.
std::string
TokensOf(std::string_view aPrompt, std::uint64_t aCount);

// Throws HttpError if the text is not JSON.
Json::Value
ParseJson(const std::string& aText);

// On one line.
std::string
WriteJson(const Json::Value& aValue);

// The wall clock in microseconds.
std::int64_t
WallMicroseconds();

// Prints one line with `event`, `at_us` and the fields. Safe from any thread.
void
PrintRecord(std::string_view aEvent, Json::Value aFields);

// Prints a `received` record with the whole request.
void
PrintReceived(const HttpRequest& aRequest);

// Faults that can be turned on. Safe from any thread.
class Switches
{
public:
  // Throws HttpError if the text is not the JSON above.
  void Set(const std::string& aText);

  // The value if the switch is on; counts as one of its times.
  std::optional<std::int64_t> Consume(const std::string& aName);

private:
  struct Entry
  {
    std::int64_t m_value = 0;
    // Below zero: without end.
    std::int64_t m_timesLeft = -1;
  };

  std::mutex m_mutex;
  std::map<std::string, Entry> m_entries;
};

// Prints `listening` and serves until the process ends. Answers
// `POST /_switch` itself and prints every other request before the handler
// sees it.
[[noreturn]] void
RunStandIn(std::uint16_t aPort, Switches& aSwitches, HttpHandler aHandler);

} // namespace rattanweir::testing
