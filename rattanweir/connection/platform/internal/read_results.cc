#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/platform/internal/read_results.h"
#include "rattanweir/process/instance_list/instance_list.h"
#include "rattanweir/process/logging/log.h"

#include <algorithm>

namespace rattanweir {
namespace {

// Maximum number of logged faults per text; the status page lists all of them.
constexpr std::size_t kMaxLoggedFaults = 5;

void
LogFaults(std::string_view aEvent, const std::vector<SectionFault>& aFaults)
{
  const std::size_t count = std::min(aFaults.size(), kMaxLoggedFaults);
  for (std::size_t i = 0; i < count; ++i) {
    Log(LogLevel::Error,
        aEvent,
        { { "fault", aFaults[i].ToString() },
          { "faults", std::to_string(aFaults.size()) } });
  }
}

} // namespace

OfferOutcome
OfferSection(const PlatformOptions& aOptions, const SectionOffer& aOffer)
{
  const OfferOutcome outcome = aOptions.m_catalog.Offer(aOffer);
  if (outcome == OfferOutcome::Rejected) {
    aOptions.m_metrics.Count("rattanweir_sections_rejected_total");
    LogFaults("section_rejected",
              aOptions.m_catalog.Status(aOffer.m_kind).m_faults);
  }
  return outcome;
}

void
ApplyInstanceList(const PlatformOptions& aOptions, const SectionText& aText)
{
  try {
    const auto list = ParseInstanceList(aText);
    aOptions.m_membership.ApplyList(list);
    Log(LogLevel::Info,
        "instance_list_applied",
        { { "instances", std::to_string(list.size()) } });
  } catch (const SectionError& error) {
    aOptions.m_metrics.Count("rattanweir_instance_lists_rejected_total");
    LogFaults("instance_list_rejected", error.Faults());
  }
}

void
ReportReadFailure(const PlatformOptions& aOptions,
                  const std::string& aSourceName,
                  const std::string& aCause)
{
  aOptions.m_metrics.Count("rattanweir_platform_read_failures_total");
  Log(LogLevel::Warning,
      "platform_read_failed",
      { { "what", aSourceName }, { "why", aCause } });
}

} // namespace rattanweir
