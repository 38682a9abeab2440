#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/platform/internal/directory_reader.h"
#include "rattanweir/connection/platform/internal/read_results.h"
#include "rattanweir/process/logging/log.h"
#include "rattanweir/request/wait/wait.h"
#include "rattanweir/version/text_file/text_file.h"
#include "rattanweir/version/yaml/load.h"
#include "rattanweir/version/yaml/reader.h"

#include <sys/stat.h>

#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace rattanweir {
namespace {

using std::chrono::nanoseconds;

const std::string kInstanceListName = "instances";

// File attributes from stat. A different stamp means that the file may have
// changed.
struct FileStamp
{
  WallTime m_modifiedAt;
  std::uint64_t m_size = 0;
  std::uint64_t m_inode = 0;

  friend bool operator==(const FileStamp&, const FileStamp&) = default;
};

std::optional<FileStamp>
StatFile(const std::string& aPath)
{
  struct stat info = {};
  if (::stat(aPath.c_str(), &info) != 0) {
    return std::nullopt;
  }
  return FileStamp{
    .m_modifiedAt = WallTime(std::chrono::seconds(info.st_mtim.tv_sec) +
                             nanoseconds(info.st_mtim.tv_nsec)),
    .m_size = static_cast<std::uint64_t>(info.st_size),
    .m_inode = static_cast<std::uint64_t>(info.st_ino),
  };
}

// Returns the value of the `version` field, or nullopt if the field can't be
// parsed.
std::optional<SectionVersion>
ParseVersion(const SectionText& aText)
{
  FaultCollector faults(aText.m_file, "");
  const auto root = LoadYaml(aText, faults);
  if (!root) {
    return std::nullopt;
  }
  MappingReader reader(*root, "", faults);
  const Range<std::int64_t> range{ 1,
                                   std::numeric_limits<std::int64_t>::max() };
  const std::int64_t version = reader.ReadInteger("version", range);
  if (!faults.IsEmpty()) {
    return std::nullopt;
  }
  return SectionVersion(static_cast<std::uint64_t>(version));
}

// A polled file, with the stamp and text of the last successful read.
struct WatchedFile
{
  // nullopt for the instance list.
  std::optional<SectionKind> m_kind;
  std::string m_path;
  std::optional<FileStamp> m_stamp;
  std::string m_text;
  bool m_isUnreadable = false;
};

class DirectoryReader : public std::enable_shared_from_this<DirectoryReader>
{
public:
  DirectoryReader(const DirectoryPlatform& aSource,
                  const PlatformOptions& aOptions)
    : m_options(aOptions)
  {
    for (const SectionKind kind : kAllSectionKinds) {
      Watch(aSource.m_directory, SectionName(kind), kind);
    }
    Watch(aSource.m_directory, kInstanceListName, std::nullopt);
  }

  Task<void> Run()
  {
    const auto self = shared_from_this();
    while (!m_cancel.Reason()) {
      co_await WaitFor(
        m_options.m_executor, m_options.m_pollInterval, m_cancel);
      if (!m_cancel.Reason()) {
        PollAll();
      }
    }
  }

  void PollAll()
  {
    for (WatchedFile& file : m_files) {
      Poll(file);
    }
  }

  void Stop() { m_cancel.Cancel(ResultCode::InstanceDraining); }

private:
  void Watch(const std::string& aDirectory,
             const std::string& aName,
             std::optional<SectionKind> aKind)
  {
    m_files.push_back(WatchedFile{
      .m_kind = aKind, .m_path = aDirectory + "/" + aName + ".yaml" });
  }

  void Poll(WatchedFile& aFile);
  void Apply(const WatchedFile& aFile, const SectionText& aText);
  // Reports a failed read, unless the previous read of the file failed too.
  void ReportUnreadable(WatchedFile& aFile, const std::string& aCause);

  // After the clock was set back, modification times may lie in the future;
  // such files count as settled.
  bool IsSettled(const FileStamp& aStamp) const
  {
    const nanoseconds age = m_options.m_clock.WallNow() - aStamp.m_modifiedAt;
    return age < nanoseconds::zero() || age >= m_options.m_settleTime;
  }

  PlatformOptions m_options;
  CancelSource m_cancel;
  std::vector<WatchedFile> m_files;
};

void
DirectoryReader::ReportUnreadable(WatchedFile& aFile, const std::string& aCause)
{
  if (!std::exchange(aFile.m_isUnreadable, true)) {
    ReportReadFailure(m_options, aFile.m_path, aCause);
  }
}

void
DirectoryReader::Poll(WatchedFile& aFile)
{
  const auto stamp = StatFile(aFile.m_path);
  if (!stamp) {
    ReportUnreadable(aFile, "file does not exist");
    return;
  }
  if (stamp == aFile.m_stamp || !IsSettled(*stamp)) {
    return;
  }
  try {
    const SectionText text = ReadTextFile(aFile.m_path);
    // The file changed during the read; the next poll reads it again.
    if (StatFile(aFile.m_path) != stamp) {
      return;
    }
    aFile.m_isUnreadable = false;
    aFile.m_stamp = stamp;
    if (text.m_text != aFile.m_text) {
      aFile.m_text = text.m_text;
      Apply(aFile, text);
    }
  } catch (const TextFileError& error) {
    ReportUnreadable(aFile, error.what());
  }
}

void
DirectoryReader::Apply(const WatchedFile& aFile, const SectionText& aText)
{
  if (!aFile.m_kind) {
    ApplyInstanceList(m_options, aText);
    return;
  }
  const auto inForce = m_options.m_catalog.Status(*aFile.m_kind).m_inForce;
  const SectionVersion next(inForce ? inForce->Value() + 1 : 1);
  const SectionOffer offer{ .m_kind = *aFile.m_kind,
                            .m_version = ParseVersion(aText).value_or(next),
                            .m_text = aText };
  if (OfferSection(m_options, offer) == OfferOutcome::NotNewer) {
    Log(LogLevel::Warning,
        "changed_without_higher_version",
        { { "file", aFile.m_path },
          { "version", std::to_string(offer.m_version.Value()) } });
  }
}

class DirectoryPlatformReader final : public PlatformReader
{
public:
  DirectoryPlatformReader(const DirectoryPlatform& aSource,
                          const PlatformOptions& aOptions)
    : m_executor(aOptions.m_executor)
    , m_reader(std::make_shared<DirectoryReader>(aSource, aOptions))
  {
  }

  void Start() override
  {
    m_reader->PollAll();
    asio::co_spawn(m_executor, m_reader->Run(), asio::detached);
  }
  void Stop() override { m_reader->Stop(); }

private:
  Executor m_executor;
  std::shared_ptr<DirectoryReader> m_reader;
};

} // namespace

std::unique_ptr<PlatformReader>
MakeDirectoryReader(const DirectoryPlatform& aSource,
                    const PlatformOptions& aOptions)
{
  return std::make_unique<DirectoryPlatformReader>(aSource, aOptions);
}

} // namespace rattanweir
