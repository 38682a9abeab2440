// What all cases share: their arguments, their stand-ins and their requests.
//
//   case_1 --program PATH --folder TEMPORARY --record record.txt
//
// A case ends with 1 if the rule was broken, 0 if it held, and 2 if it could
// not run. With TROUBLE=0 in the environment it leaves the disruption out.

#pragma once

#include "review/support/instance.h"
#include "review/support/record.h"
#include "review/support/runner.h"
#include "review/support/socket.h"

#include <functional>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>

namespace review {

struct CaseArguments
{
  std::string m_program;
  std::string m_folder;
  std::string m_record;
  bool m_hasTrouble = true;
};

// Thrown if the case cannot run.
class CannotRun : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

// Parses the arguments, runs the case and ends the process with its exit code,
// while threads of the stand-ins still run. `aCase` returns whether the rule
// held.
[[noreturn]] void
RunCase(int aCount,
        char** aArguments,
        const std::function<bool(const CaseArguments&, Record&)>& aCase);

// Options of an instance of the region `aRegion` with one zone, whose name ends
// in `-a`.
InstanceOptions
MakeInstanceOptions(const std::string& aName,
                    const std::string& aRegion,
                    const CaseArguments& aArguments,
                    const Address& aStore,
                    Record& aRecord);

struct ClientRequest
{
  std::string m_id;
  std::string m_method = "POST";
  std::string m_body;
  bool m_isChunked = false;
  unsigned m_deadlineMs = 6'000;
  unsigned m_promptTokens = 100;
  // The event after which a broken stream is taken up; 0: from its start.
  unsigned m_lastEvent = 0;
};

// The text of the request, with the headers of the platform's clients.
std::string
RequestText(const ClientRequest& aRequest);

// Throws CannotRun unless the directory at the address names an instance.
Address
Resolve(const Address& aDirectory, const std::string& aRegion);

// One line about an answer, for the record.
std::string
Describe(const std::optional<Response>& aResponse);

} // namespace review
