#include "rattanweir/version/section/internal/section_reader.h"

namespace rattanweir::internal {
namespace {

constexpr Range<std::int64_t> kMaximumInstances{ 1, 10'000 };
// Tokens per second.
constexpr Range<double> kRates{ 0.001, 1e9 };
constexpr Range<std::int64_t> kBursts{ 1, 1'000'000'000'000 };

} // namespace

ClientAccountsSection
ReadClientAccounts(MappingReader& aSection)
{
  ClientAccountsSection section;
  section.m_maximumInstances = static_cast<std::uint32_t>(
    aSection.ReadInteger("maximum_instances", kMaximumInstances));
  UniqueValues ids;
  aSection.ReadRows("client_accounts", [&](MappingReader& aRow) {
    ClientAccount account{
      .m_id = aRow.ReadId<ClientAccountId>("id"),
      .m_rate = TokenRate(aRow.ReadDecimal("rate_tokens_per_second", kRates)),
      .m_burst = Tokens(aRow.ReadInteger("burst_tokens", kBursts)),
      .m_homeRegion = aRow.ReadOptionalId<RegionId>("home_region"),
    };
    ids.Check(aRow, "id", account.m_id.Value(), "id");
    section.m_clientAccounts.push_back(std::move(account));
  });
  return section;
}

} // namespace rattanweir::internal
