// Shared code of the stand-in programs: JSON records, fault switches and the
// token function.
//
// A stand-in replaces a server of the platform in tests. It prints one JSON
// line for each event, such as a received request or a run; `at_us` is the
// wall-clock time in microseconds. Faults are controlled by switches, which are
// set at startup by `--switches JSON` or at run time by `POST /_switch` with
// the same JSON:
//
//   [{"name": "break_after", "value": 3, "times": 1}]
//
// `times` limits how often the switch takes effect; without `times` the switch
// always does, and 0 turns it off.

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

// Returns token number `aOffset` of the response to a prompt.
std::string
TokenOf(std::string_view aPrompt, std::uint64_t aOffset);

// Returns the first `aCount` tokens, concatenated.
std::string
TokensOf(std::string_view aPrompt, std::uint64_t aCount);

// Throws HttpError if the text is not valid JSON.
Json::Value
ParseJson(const std::string& aText);

// Returns the value as JSON on a single line.
std::string
WriteJson(const Json::Value& aValue);

// Returns the wall-clock time in microseconds since the Unix epoch.
std::int64_t
WallMicroseconds();

// Prints one JSON line with `event`, `at_us` and the fields. Thread-safe.
void
PrintRecord(std::string_view aEvent, Json::Value aFields);

// Prints a `received` record with the complete request.
void
PrintReceived(const HttpRequest& aRequest);

// Holds the faults that are switched on. Thread-safe.
class Switches
{
public:
  // Sets the switches listed in the JSON text, whose format is described above.
  // Throws HttpError if the text is not valid JSON.
  void Set(const std::string& aText);

  // Returns the value if the switch is on and consumes one of its `times`.
  // Returns nullopt if the switch is off.
  std::optional<std::int64_t> Consume(const std::string& aName);

private:
  struct Entry
  {
    std::int64_t m_value = 0;
    // Negative if unlimited.
    std::int64_t m_timesLeft = -1;
  };

  std::mutex m_mutex;
  std::map<std::string, Entry> m_entries;
};

// Prints a `listening` record and serves until the process ends. Handles
// `POST /_switch`; prints every other request, then passes it to the handler.
[[noreturn]] void
RunStandIn(std::uint16_t aPort, Switches& aSwitches, HttpHandler aHandler);

} // namespace rattanweir::testing
