#include "rattanweir/base/asio/asio.h"

#include "rattanweir/base/back_off/back_off.h"
#include "rattanweir/connection/platform/platform.h"
#include "rattanweir/request/wait/wait.h"
#include "testing/raw_peer/raw_peer.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

constexpr auto kKind = SectionKind::ClientAccounts;

// Returns a section with one client account, identified by its rate.
std::string
AccountsSection(int aVersion, int aRate)
{
  return "version: " + std::to_string(aVersion) +
         "\nmaximum_instances: 8\nclient_accounts:\n- { id: a, "
         "rate_tokens_per_second: " +
         std::to_string(aRate) + ", burst_tokens: 100 }\n";
}

std::string
InstanceListText(const std::string& aId)
{
  return "instances:\n- { id: " + aId +
         ", region: r, availability_zone: z, caller_address: 10.0.0.1:1, "
         "peer_address: 10.0.0.1:2 }\n";
}

struct Fixture
{
  PlatformOptions Options()
  {
    return { .m_executor = m_context.get_executor(),
             .m_catalog = m_catalog,
             .m_membership = m_membership,
             .m_metrics = m_metrics,
             .m_pollInterval = 2ms,
             .m_settleTime = 5ms,
             .m_watchTimeout = 1s,
             .m_initialBackOff = 2ms,
             .m_maxBackOff = 10ms };
  }
  double Rate() const
  {
    const ClientAccount* account =
      m_catalog.FindClientAccount(ClientAccountId("a"));
    return account == nullptr ? 0 : account->m_rate.Value();
  }
  Task<void> WaitForRate(double aRate)
  {
    return WaitUntil([this, aRate] { return Rate() == aRate; });
  }
  Task<void> WaitForPeer(const std::string& aId)
  {
    return WaitUntil(
      [this, aId] { return m_membership.Find(InstanceId(aId)).has_value(); });
  }

  asio::io_context m_context;
  Catalog m_catalog;
  Metrics m_metrics;
  Membership m_membership{ { .m_clock = SystemClock(),
                             .m_self = InstanceId("self") } };
};

// A temporary directory, removed by the destructor.
class TemporaryDirectory
{
public:
  TemporaryDirectory()
  {
    std::string path =
      std::filesystem::temp_directory_path() / "platformXXXXXX";
    if (::mkdtemp(path.data()) == nullptr) {
      throw std::runtime_error("cannot create a temporary directory");
    }
    m_path = path;
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(m_path); }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  void Write(const std::string& aName, const std::string& aText) const
  {
    std::ofstream(m_path / (aName + ".yaml")) << aText;
  }
  std::string Path() const { return m_path; }

private:
  std::filesystem::path m_path;
};

TEST_CASE("a changed section file is applied only if its version is higher")
{
  Fixture fixture;
  const TemporaryDirectory directory;
  directory.Write("client_accounts", AccountsSection(3, 10));
  directory.Write("instances", InstanceListText("one"));
  Platform platform(DirectoryPlatform{ directory.Path() }, fixture.Options());
  platform.Start();
  RunTask(fixture.m_context, [&]() -> Task<void> {
    co_await fixture.WaitForRate(10);
    co_await fixture.WaitForPeer("one");

    // Neither a different text with the same version nor a lower version is
    // applied.
    directory.Write("client_accounts", AccountsSection(3, 11));
    directory.Write("instances", InstanceListText("two"));
    co_await fixture.WaitForPeer("two");
    directory.Write("client_accounts", AccountsSection(2, 12));
    directory.Write("instances", InstanceListText("three"));
    co_await fixture.WaitForPeer("three");
    REQUIRE(fixture.Rate() == 10);

    directory.Write("client_accounts", "client_accounts: [");
    co_await WaitUntil(
      [&] { return fixture.m_catalog.Status(kKind).m_rejectedCount == 1; });
    REQUIRE(fixture.Rate() == 10);
    const SectionStatus status = fixture.m_catalog.Status(kKind);
    REQUIRE(status.m_inForce == SectionVersion(3));
    REQUIRE(status.m_rejected == SectionVersion(4));

    directory.Write("client_accounts", AccountsSection(4, 13));
    co_await fixture.WaitForRate(13);
    directory.Write("instances", "instances: 3");
    co_await WaitUntil([&] {
      return fixture.m_metrics.Counter(
               "rattanweir_instance_lists_rejected_total") == 1;
    });
    co_await fixture.WaitForPeer("three");
    platform.Stop();
  });
}

TEST_CASE("a file is read only after the settle time since its last change")
{
  Fixture fixture;
  const TemporaryDirectory directory;
  PlatformOptions options = fixture.Options();
  options.m_settleTime = 100ms;
  Platform platform(DirectoryPlatform{ directory.Path() }, options);
  directory.Write("client_accounts", AccountsSection(1, 10));
  platform.Start();
  REQUIRE(fixture.Rate() == 0);
  RunTask(fixture.m_context, [&]() -> Task<void> {
    // The writer changes the file again before the settle time has elapsed.
    directory.Write("client_accounts", AccountsSection(1, 20));
    co_await fixture.WaitForRate(20);
    platform.Stop();
  });
  REQUIRE(fixture.m_catalog.Status(kKind).m_acceptedCount == 1);
}

// Accepts requests and returns those for one target; does not respond to any
// other request.
class FakeService
{
public:
  explicit FakeService(asio::io_context& aContext)
    : m_listener(aContext)
  {
  }

  ServicePlatform Source() const
  {
    return { .m_configurationService = m_listener.LocalEndpoint(),
             .m_instanceList = m_listener.LocalEndpoint() };
  }

  // Returns the connection of the next request whose target starts with
  // `aTarget`.
  Task<RawPeer> NextWatch(std::string aTarget)
  {
    for (;;) {
      RawPeer peer = co_await m_listener.Accept();
      const std::string request = co_await peer.ReadUntil("\r\n\r\n");
      m_target = request.substr(0, request.find(" HTTP"));
      if (m_target.starts_with("GET " + aTarget)) {
        co_return peer;
      }
      m_otherPeers.push_back(std::move(peer));
    }
  }

  // Method and target of the request whose connection NextWatch returned.
  std::string m_target;

private:
  RawListener m_listener;
  std::vector<RawPeer> m_otherPeers;
};

std::string
OkResponse(const std::string& aNumber, const std::string& aText)
{
  return "HTTP/1.1 200 OK\r\nConnection: close\r\n" + aNumber +
         "\r\nContent-Length: " + std::to_string(aText.size()) + "\r\n\r\n" +
         aText;
}

TEST_CASE("a service is polled for newer versions after any response")
{
  Fixture fixture;
  FakeService service(fixture.m_context);
  Platform platform(service.Source(), fixture.Options());
  platform.Start();
  const std::string path = "/v1/sections/client_accounts";
  const std::string notModified =
    "HTTP/1.1 304 Same\r\nConnection: close\r\n\r\n";
  const struct
  {
    std::string m_name;
    std::string m_expectedQuery;
    std::string m_response;
    double m_rate;
    std::uint64_t m_failures;
  } steps[] = {
    { "no response", "", "", 0, 0 },
    { "an error", "", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", 0, 1 },
    { "no version header",
      "",
      OkResponse("x: 1", AccountsSection(1, 5)),
      0,
      2 },
    { "an invalid version header",
      "",
      OkResponse("section-version: x", AccountsSection(1, 5)),
      0,
      3 },
    { "a truncated body",
      "",
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na",
      0,
      4 },
    { "a body that is too long",
      "",
      OkResponse("section-version: 1", std::string(1'100'000, ' ')),
      0,
      5 },
    // The version in the response header counts, not the one in the body.
    { "a first version",
      "",
      OkResponse("section-version: 7", AccountsSection(1, 5)),
      5,
      6 },
    { "no newer version", "?newer_than=7&wait=1s", notModified, 5, 6 },
    { "an older version",
      "?newer_than=7&wait=1s",
      OkResponse("section-version: 6", AccountsSection(99, 6)),
      5,
      6 },
    { "an invalid section",
      "?newer_than=7&wait=1s",
      OkResponse("section-version: 8", "client_accounts: 1"),
      5,
      7 },
    { "a newer version",
      "?newer_than=8&wait=1s",
      OkResponse("section-version: 9", AccountsSection(1, 9)),
      9,
      7 },
    { "no version newer than that",
      "?newer_than=9&wait=1s",
      notModified,
      9,
      7 },
  };
  RunTask(fixture.m_context, [&]() -> Task<void> {
    for (const auto& step : steps) {
      RawPeer peer = co_await service.NextWatch(path);
      CAPTURE(step.m_name);
      CHECK(service.m_target == "GET " + path + step.m_expectedQuery);
      CHECK(fixture.m_metrics.Counter(
              "rattanweir_platform_read_failures_total") == step.m_failures);
      co_await peer.Write(step.m_response);
      peer.Close();
      co_await fixture.WaitForRate(step.m_rate);
    }
    platform.Stop();
  });
}

TEST_CASE("the instance list is polled for changes after its last revision")
{
  Fixture fixture;
  FakeService service(fixture.m_context);
  Platform platform(service.Source(), fixture.Options());
  platform.Start();
  RunTask(fixture.m_context, [&]() -> Task<void> {
    RawPeer first = co_await service.NextWatch("/v1/instances");
    CHECK(service.m_target == "GET /v1/instances");
    const std::string one =
      OkResponse("list-revision: r1", InstanceListText("one"));
    co_await first.Write(one);
    co_await fixture.WaitForPeer("one");
    RawPeer second = co_await service.NextWatch("/v1/instances");
    CHECK(service.m_target == "GET /v1/instances?changed_from=r1&wait=1s");
    const std::string faulty = OkResponse("list-revision: r2", "instances: 1");
    co_await second.Write(faulty);
    RawPeer third = co_await service.NextWatch("/v1/instances");
    CHECK(service.m_target == "GET /v1/instances?changed_from=r2&wait=1s");
    const std::string two =
      OkResponse("list-revision: r3", InstanceListText("two"));
    co_await third.Write(two);
    co_await fixture.WaitForPeer("two");
    REQUIRE_FALSE(fixture.m_membership.Find(InstanceId("one")));
    platform.Stop();
  });
}

TEST_CASE("the back-off grows to its maximum, is randomised, and can be reset")
{
  RandomEngine engine(1);
  BackOff backOff(engine, 100ms, 400ms);
  for (const auto step : { 100ms, 200ms, 400ms, 400ms }) {
    const auto wait = backOff.Next();
    REQUIRE(wait >= step / 2);
    REQUIRE(wait <= step);
  }
  const auto first = backOff.Next();
  REQUIRE(first != backOff.Next());
  backOff.Reset();
  REQUIRE(backOff.Next() <= 100ms);
}

} // namespace
} // namespace rattanweir
