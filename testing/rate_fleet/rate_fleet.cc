#include "testing/rate_fleet/rate_fleet.h"

#include <algorithm>
#include <string>
#include <utility>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

constexpr std::size_t kRegions = 3;
constexpr nanoseconds kTick = 250ms;
constexpr nanoseconds kRetry = 25ms;
constexpr nanoseconds kAnswerTimeout = 300ms;
constexpr nanoseconds kResumeAfter = 100ms;
constexpr nanoseconds kLatest = 8s;
constexpr nanoseconds kLongestUse = 2s;

nanoseconds
Scaled(nanoseconds aDuration, double aFactor)
{
  return nanoseconds(static_cast<std::int64_t>(
    static_cast<double>(aDuration.count()) * aFactor));
}

std::size_t
BytesOf(const LeaseRequest& aRequest)
{
  const std::string text =
    R"({"id":"","borrower":"","incarnation":,"client_account":"","fraction":)" +
    aRequest.m_id.Value() + aRequest.m_borrower.Value() +
    std::to_string(aRequest.m_borrowerIncarnation.Value()) +
    aRequest.m_clientAccount.Value() + std::to_string(aRequest.m_fraction) +
    R"(,"tokens":,"term_ms":})" + std::to_string(aRequest.m_tokens.Value()) +
    std::to_string(aRequest.m_term / 1ms);
  return text.size();
}

std::size_t
BytesOf(const LeaseGrant& aGrant)
{
  const std::string text =
    R"({"id":"","client_account":"","fraction":,"tokens":,"term_ms":)" +
    aGrant.m_id.Value() + aGrant.m_clientAccount.Value() +
    std::to_string(aGrant.m_fraction) + std::to_string(aGrant.m_tokens) +
    std::to_string(aGrant.m_term / 1ms) + R"(,"ask_again_after_ms":})" +
    std::to_string(aGrant.m_askAgainAfter / 1ms);
  return text.size();
}

std::size_t
BytesOf(const LeaseReturn& aReturn)
{
  const std::string text =
    R"({"id":"","borrower":"","client_account":"","tokens":})" +
    aReturn.m_id.Value() + aReturn.m_borrower.Value() +
    aReturn.m_clientAccount.Value() + std::to_string(aReturn.m_tokens);
  return text.size();
}

} // namespace

double
FleetAccount::WronglyRefused() const
{
  if (m_admitted >= m_rightful) {
    return 0;
  }
  return 1 - static_cast<double>(m_admitted) / static_cast<double>(m_rightful);
}

RateFleet::RateFleet(const FleetOptions& aOptions)
  : m_options(aOptions)
  , m_engine(aOptions.m_seed)
  , m_loadEngine(aOptions.m_seed)
{
  for (std::size_t index = 0; index < aOptions.m_instances; ++index) {
    AddNode(index % kRegions);
  }
  Configure(aOptions.m_section);
}

RateFleet::~RateFleet() = default;

void
RateFleet::AddNode(std::size_t aRegion)
{
  const std::size_t index = m_nodes.size();
  m_nodes.push_back(std::make_unique<Node>());
  Node& node = *m_nodes.back();
  node.m_id = InstanceId("instance-" + std::to_string(index));
  node.m_region = aRegion;
  node.m_callersGoTo = index;
  node.m_speed = 1 + m_options.m_drift * (2 * Random() - 1);
  node.m_trueTime = m_now;
  node.m_clock.Advance(Scaled(1h, Random()));
  Start(node);
  ScheduleTick(index);
}

void
RateFleet::Start(Node& aNode)
{
  Sync(aNode);
  aNode.m_isResuming = false;
  aNode.m_waiting.clear();
  const Incarnation incarnation(aNode.m_incarnation++);
  if (m_options.m_model == RateModel::BareTokens ||
      m_options.m_model == RateModel::BareTokensNotDeducted) {
    aNode.m_ledger = std::make_unique<BareTokenLedger>(BareTokenOptions{
      .m_clock = aNode.m_clock,
      .m_self = aNode.m_id,
      .m_incarnation = incarnation,
      .m_lenderDeducts = m_options.m_model == RateModel::BareTokens });
  } else {
    aNode.m_ledger = std::make_unique<RateLedger>(
      RateLedgerOptions{ .m_clock = aNode.m_clock,
                         .m_self = aNode.m_id,
                         .m_incarnation = incarnation });
  }
}

namespace {

// Calls a function with whichever ledger the variant holds.
template<class Ledger, class Function>
auto
With(Ledger& aLedger, const Function& aFunction)
{
  if (auto* shares = std::get_if<std::unique_ptr<RateLedger>>(&aLedger)) {
    return aFunction(**shares);
  }
  return aFunction(*std::get<std::unique_ptr<BareTokenLedger>>(aLedger));
}

} // namespace

void
RateFleet::Sync(Node& aNode)
{
  aNode.m_clock.Advance(Scaled(m_now - aNode.m_trueTime, aNode.m_speed));
  aNode.m_trueTime = m_now;
}

void
RateFleet::Configure(const ClientAccountsSection& aSection)
{
  m_options.m_section = aSection;
  for (const ClientAccount& account : aSection.m_clientAccounts) {
    const auto burst = static_cast<double>(account.m_burst.Value());
    auto [central, isNew] = m_central.try_emplace(account.m_id);
    central->second.m_rate = account.m_rate.Value();
    central->second.m_burst = burst;
    if (isNew) {
      central->second.m_tokens = burst;
    }
    m_accounts[account.m_id].m_history.SetLimits(
      Seconds(), account.m_rate.Value(), burst);
  }
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    Node& node = *m_nodes[index];
    Sync(node);
    With(node.m_ledger, [&](auto& aLedger) { aLedger.Configure(aSection); });
    SeePause(index);
  }
}

void
RateFleet::At(Duration aTime, std::function<void()> aFunction)
{
  m_events.emplace(std::pair(std::max(aTime, m_now), ++m_sequence),
                   std::move(aFunction));
}

void
RateFleet::Run(Duration aUntil)
{
  while (!m_events.empty() && m_events.begin()->first.first <= aUntil) {
    auto event = m_events.extract(m_events.begin());
    m_now = event.key().first;
    event.mapped()();
  }
  m_now = aUntil;
}

void
RateFleet::OnNode(std::size_t aNode, std::function<void()> aFunction)
{
  Node& node = *m_nodes[aNode];
  if (node.m_isFrozen) {
    node.m_backlog.push_back(std::move(aFunction));
    return;
  }
  Sync(node);
  aFunction();
  SeePause(aNode);
}

void
RateFleet::SeePause(std::size_t aNode)
{
  Node& node = *m_nodes[aNode];
  const bool isPaused =
    With(node.m_ledger, [](auto& aLedger) { return aLedger.IsPaused(); });
  if (!isPaused || node.m_isResuming) {
    return;
  }
  node.m_isResuming = true;
  At(m_now + kResumeAfter, [this, aNode] {
    OnNode(aNode, [this, aNode] {
      Node& resumed = *m_nodes[aNode];
      resumed.m_isResuming = false;
      With(resumed.m_ledger, [](auto& aLedger) { aLedger.Resume(); });
    });
  });
}

void
RateFleet::ScheduleTick(std::size_t aNode)
{
  At(m_now + kTick, [this, aNode] {
    OnNode(aNode, [this, aNode] { Tick(aNode); });
    ScheduleTick(aNode);
  });
}

void
RateFleet::Tick(std::size_t aNode)
{
  const std::vector<LeaseReturn> returns = With(
    m_nodes[aNode]->m_ledger, [](auto& aLedger) { return aLedger.Tick(); });
  for (const LeaseReturn& given : returns) {
    const std::size_t lender = IndexOf(given.m_lender);
    Send(aNode, lender, BytesOf(given), [this, lender, given] {
      With(m_nodes[lender]->m_ledger,
           [&given](auto& aLedger) { aLedger.TakeBack(given); });
    });
  }
}

void
RateFleet::Partition(const std::vector<int>& aGroupOfInstance)
{
  m_groups = aGroupOfInstance;
}

void
RateFleet::Freeze(std::size_t aInstance)
{
  m_nodes[aInstance]->m_isFrozen = true;
}

void
RateFleet::Wake(std::size_t aInstance)
{
  Node& node = *m_nodes[aInstance];
  node.m_isFrozen = false;
  const auto backlog = std::exchange(node.m_backlog, {});
  for (const auto& function : backlog) {
    OnNode(aInstance, function);
  }
}

void
RateFleet::Restart(std::size_t aInstance)
{
  Node& node = *m_nodes[aInstance];
  node.m_isFrozen = false;
  node.m_backlog.clear();
  Start(node);
  With(node.m_ledger,
       [&](auto& aLedger) { aLedger.Configure(m_options.m_section); });
}

void
RateFleet::AddReplacementOf(std::size_t aInstance)
{
  AddNode(m_nodes[aInstance]->m_region);
  m_nodes[aInstance]->m_callersGoTo = m_nodes.size() - 1;
  With(m_nodes.back()->m_ledger,
       [&](auto& aLedger) { aLedger.Configure(m_options.m_section); });
}

nanoseconds
RateFleet::DelayBetween(std::size_t aFrom, std::size_t aTo)
{
  if (Random() < m_options.m_lateness) {
    return Scaled(kLatest, Random());
  }
  const bool isWithin = m_nodes[aFrom]->m_region == m_nodes[aTo]->m_region;
  const nanoseconds delay =
    isWithin ? m_options.m_delayWithin : m_options.m_delayBetween;
  return delay + Scaled(delay, Random() / 4);
}

void
RateFleet::Send(std::size_t aFrom,
                std::size_t aTo,
                std::size_t aBytes,
                const std::function<void()>& aFunction)
{
  ++m_messages;
  m_messageBytes += aBytes;
  const auto groupOf = [this](std::size_t aNode) {
    return aNode < m_groups.size() ? m_groups[aNode] : 0;
  };
  const int copies = Random() < m_options.m_duplication ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (groupOf(aFrom) != groupOf(aTo) || Random() < m_options.m_loss) {
      continue;
    }
    At(m_now + DelayBetween(aFrom, aTo),
       [this, aTo, aFunction] { OnNode(aTo, aFunction); });
  }
}

void
RateFleet::AddLoad(const FleetLoad& aLoad)
{
  ScheduleArrival(aLoad, aLoad.m_from);
}

void
RateFleet::ScheduleArrival(const FleetLoad& aLoad, Duration aAfter)
{
  const double mean =
    static_cast<double>(aLoad.m_smallest + aLoad.m_largest) / 2;
  std::exponential_distribution<> gap(aLoad.m_tokensPerSecond / mean);
  const Duration at = std::max(m_now, aAfter) + Scaled(1s, gap(m_loadEngine));
  if (at > aLoad.m_until) {
    return;
  }
  At(at, [this, aLoad] {
    std::uniform_int_distribution<std::int64_t> size(aLoad.m_smallest,
                                                     aLoad.m_largest);
    const Tokens tokens(size(m_loadEngine));
    const std::size_t node = m_nodes[aLoad.m_instance]->m_callersGoTo;
    CountRightful(aLoad.m_account, tokens);
    OnNode(node, [this, node, aLoad, tokens] {
      Arrive(node, aLoad.m_account, tokens);
    });
    ScheduleArrival(aLoad, m_now);
  });
}

void
RateFleet::CountRightful(const ClientAccountId& aAccount, Tokens aSize)
{
  FleetAccount& account = m_accounts[aAccount];
  ++account.m_offered;
  Central& central = m_central[aAccount];
  central.m_tokens =
    std::min(central.m_burst,
             central.m_tokens +
               central.m_rate *
                 std::chrono::duration<double>(m_now - central.m_at).count());
  central.m_at = m_now;
  const auto size = static_cast<double>(aSize.Value());
  if (size <= central.m_tokens) {
    central.m_tokens -= size;
    ++account.m_rightful;
  }
}

void
RateFleet::Arrive(std::size_t aNode,
                  const ClientAccountId& aAccount,
                  Tokens aSize)
{
  if (TryReserve(aNode, aAccount, aSize, ReserveTry::First)) {
    return;
  }
  Node& node = *m_nodes[aNode];
  node.m_waiting.push_back({ .m_account = aAccount,
                             .m_tokens = aSize,
                             .m_deadline = m_now + m_options.m_patience });
  Ask(aNode, aAccount, aSize);
  if (node.m_waiting.size() == 1) {
    ScheduleRetry(aNode, kRetry);
  }
}

bool
RateFleet::TryReserve(std::size_t aNode,
                      const ClientAccountId& aAccount,
                      Tokens aSize,
                      ReserveTry aTry)
{
  const ReserveResult result =
    With(m_nodes[aNode]->m_ledger,
         [&](auto& aLedger) { return aLedger.Reserve(aAccount, aSize, aTry); });
  const auto* reservation = std::get_if<Reservation>(&result);
  if (reservation == nullptr) {
    return false;
  }
  NoteAdmitted(aNode, *reservation);
  if (reservation->m_isRunningLow) {
    Ask(aNode, aAccount, Tokens(0));
  }
  return true;
}

void
RateFleet::NoteAdmitted(std::size_t aNode, const Reservation& aReservation)
{
  FleetAccount& account = m_accounts[aReservation.m_clientAccount];
  ++account.m_admitted;
  const auto reserved = static_cast<double>(aReservation.m_tokens.Value());
  account.m_history.Add(Seconds(), reserved);
  if (m_options.m_leastUsed >= 1) {
    return;
  }
  const double part =
    m_options.m_leastUsed + (1 - m_options.m_leastUsed) * Random();
  const Tokens used(static_cast<std::int64_t>(reserved * part));
  At(m_now + Scaled(kLongestUse, Random()), [this, aNode, aReservation, used] {
    OnNode(aNode, [this, aNode, aReservation, used] {
      With(m_nodes[aNode]->m_ledger,
           [&](auto& aLedger) { aLedger.Settle(aReservation, used); });
      m_accounts[aReservation.m_clientAccount].m_history.Add(
        Seconds(),
        -static_cast<double>((aReservation.m_tokens - used).Value()));
    });
  });
}

// In the order of arrival; the first of an account that is short holds up the
// rest of that account.
void
RateFleet::RetryWaiting(std::size_t aNode)
{
  std::map<ClientAccountId, Tokens> stillShort;
  std::deque<Waiting> left;
  for (const Waiting& waiting : std::exchange(m_nodes[aNode]->m_waiting, {})) {
    const bool isHeldUp = stillShort.contains(waiting.m_account);
    if (!isHeldUp &&
        TryReserve(
          aNode, waiting.m_account, waiting.m_tokens, ReserveTry::Again)) {
      continue;
    }
    if (waiting.m_deadline <= m_now) {
      continue;
    }
    stillShort.emplace(waiting.m_account, waiting.m_tokens);
    left.push_back(waiting);
  }
  m_nodes[aNode]->m_waiting = std::move(left);
  for (const auto& [account, tokens] : stillShort) {
    Ask(aNode, account, tokens);
  }
}

void
RateFleet::ScheduleRetry(std::size_t aNode, Duration aAfter)
{
  At(m_now + aAfter, [this, aNode] {
    OnNode(aNode, [this, aNode] {
      RetryWaiting(aNode);
      if (!m_nodes[aNode]->m_waiting.empty()) {
        ScheduleRetry(aNode, kRetry);
      }
    });
  });
}

void
RateFleet::Ask(std::size_t aNode,
               const ClientAccountId& aAccount,
               Tokens aTokens)
{
  if (m_options.m_model == RateModel::StaticSplit) {
    return;
  }
  const auto request = With(m_nodes[aNode]->m_ledger, [&](auto& aLedger) {
    return aLedger.PrepareLeaseRequest(aAccount, aTokens, PeersOf(aNode));
  });
  if (!request) {
    return;
  }
  const std::size_t lender = IndexOf(request->m_lender);
  Send(aNode, lender, BytesOf(*request), [this, request, aNode] {
    HandleRequest(*request, aNode);
  });
  const LeaseGrant nothing{ .m_id = request->m_id,
                            .m_clientAccount = aAccount };
  At(m_now + kAnswerTimeout, [this, aNode, nothing] {
    OnNode(aNode, [this, aNode, nothing] { HandleGrant(aNode, nothing); });
  });
}

void
RateFleet::HandleRequest(const LeaseRequest& aRequest, std::size_t aFrom)
{
  const std::size_t lender = IndexOf(aRequest.m_lender);
  const LeaseGrant grant = With(m_nodes[lender]->m_ledger, [&](auto& aLedger) {
    return aLedger.Lend(aRequest);
  });
  Send(lender, aFrom, BytesOf(grant), [this, aFrom, grant] {
    HandleGrant(aFrom, grant);
  });
}

void
RateFleet::HandleGrant(std::size_t aNode, const LeaseGrant& aGrant)
{
  With(m_nodes[aNode]->m_ledger,
       [&](auto& aLedger) { return aLedger.Accept(aGrant); });
  RetryWaiting(aNode);
}

std::vector<InstanceId>
RateFleet::PeersOf(std::size_t aNode) const
{
  std::vector<InstanceId> within;
  std::vector<InstanceId> between;
  for (std::size_t step = 1; step < m_nodes.size(); ++step) {
    const Node& peer = *m_nodes[(aNode + step) % m_nodes.size()];
    const bool isWithin = peer.m_region == m_nodes[aNode]->m_region;
    (isWithin ? within : between).push_back(peer.m_id);
  }
  within.insert(within.end(), between.begin(), between.end());
  return within;
}

std::size_t
RateFleet::IndexOf(const InstanceId& aId) const
{
  const auto found =
    std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto& aNode) {
      return aNode->m_id == aId;
    });
  return static_cast<std::size_t>(found - m_nodes.begin());
}

double
RateFleet::OverAdmission() const
{
  double worst = 0;
  for (const auto& [id, account] : m_accounts) {
    worst = std::max(worst, account.m_history.OverAdmission());
  }
  return worst;
}

} // namespace rattanweir
