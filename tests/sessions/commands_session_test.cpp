#include "test_system.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

namespace skylarkwind::sessions {

namespace {

struct command_result
{
  int mExit = -1;
  std::vector<std::string> mLines; ///< standard output and standard error
  std::string Text() const
  {
    std::string text;
    for (const auto& line : mLines) {
      text += line + "\n";
    }
    return text;
  }
};

/// One command of the page with the lines below it.
struct shown_command
{
  std::string mCommand;
  int mExit = 0;
  std::vector<std::string> mLines;
};

command_result
RunShell(const std::string& aCommand)
{
  command_result result;
  std::string output;
  FILE* pipe = popen(("( " + aCommand + " ) 2>&1").c_str(), "r");
  std::array<char, 4'096> part{};
  for (std::size_t count = 0; (count = fread(part.data(), 1, part.size(), pipe)) > 0;) {
    output.append(part.data(), count);
  }
  result.mExit = WEXITSTATUS(pclose(pipe));
  std::istringstream in{ output };
  for (std::string line; std::getline(in, line);) {
    result.mLines.push_back(line);
  }
  return result;
}

/// The line without what differs from run to run: addresses, times, long numbers, column widths.
std::string
FixedPart(const std::string& aLine)
{
  static const std::vector<std::pair<std::regex, std::string>> kVariable{
    { std::regex{ R"(\d+\.\d+\.\d+\.\d+:\d+)" }, "ADDRESS" },
    { std::regex{ R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ)" }, "TIME" },
    { std::regex{ "^(in_force_for_ms|lease_holder|fencing|reported_fencing): .*" }, "$1: VALUE" },
    { std::regex{ R"(^(fleet/\S+|incarnation:)\s+\d+)" }, "$1 NUMBER" },
    { std::regex{ "  +" }, " " },
    { std::regex{ " +$" }, "" }
  };
  auto line = aLine;
  for (const auto& [pattern, text] : kVariable) {
    line = std::regex_replace(line, pattern, text);
  }
  return line;
}

std::vector<shown_command>
CommandsOfThePage()
{
  std::ifstream page{ std::string{ SKYLARKWIND_SOURCE_DIR } + "/docs/OPERATIONS.md" };
  std::vector<shown_command> commands;
  bool inBlock = false;
  const std::regex exitCode{ R"(\(exit code (\d+)\))" };
  for (std::string line; std::getline(page, line);) {
    std::smatch match;
    if (line.starts_with("```")) {
      inBlock = !inBlock;
    } else if (inBlock && line.starts_with("$ skylarkwind ")) {
      commands.push_back({ line.substr(2) });
    } else if (inBlock && !commands.empty() && std::regex_match(line, match, exitCode)) {
      commands.back().mExit = std::stoi(match[1]);
    } else if (inBlock && !commands.empty()) {
      commands.back().mLines.push_back(line);
    }
  }
  return commands;
}

} // namespace

class commands_session_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(commands_session_test);
  CPPUNIT_TEST(CommandsOfThePageWorkAsShown);
  CPPUNIT_TEST(EveryBadRowIsReported);
  CPPUNIT_TEST(ARaceNamesTheRow);
  CPPUNIT_TEST(WrongCredentialsAreRefusedAndCounted);
  CPPUNIT_TEST(BadSettingsStartNothing);
  CPPUNIT_TEST(LocalPathsAnswer);
  CPPUNIT_TEST(AnEditFollowsARestoredPlatform);
  CPPUNIT_TEST_SUITE_END();

  using json = nlohmann::json;

  std::filesystem::path mDirectory;

public:
  void setUp() override
  {
    std::string name = std::filesystem::temp_directory_path() / "commands-XXXXXX";
    CPPUNIT_ASSERT(mkdtemp(name.data()) != nullptr);
    mDirectory = name;
  }
  void tearDown() override { std::filesystem::remove_all(mDirectory); }

private:
  static void AssertHas(const std::string& aText, const std::string& aPart)
  {
    CPPUNIT_ASSERT_MESSAGE("\"" + aPart + "\" is not in:\n" + aText,
                           aText.find(aPart) != std::string::npos);
  }

  /// Runs a line of the page in the test's directory; `skylarkwind` there has the addresses set.
  command_result RunShown(const test_system& aSystem,
                          const std::string& aPlatform,
                          const std::string& aLine,
                          const std::string& aCredential = test_system::OperatorCredential()) const
  {
    const auto program = mDirectory / "skylarkwind";
    const auto daemon = aSystem.Url("entry-1", "").substr(std::string{ "http://" }.size());
    std::ofstream{ program } << "#!/bin/sh\nexec " << SKYLARKWIND_BIN_DIR
                             << "/skylarkwind --platform=" << aPlatform << " --daemon=" << daemon
                             << " \"$@\"\n";
    std::filesystem::permissions(program, std::filesystem::perms::owner_all);
    return RunShell("cd " + mDirectory.string() + " && export PATH=" + mDirectory.string() +
                    ":$PATH SKYLARKWIND_CREDENTIAL=" + aCredential + " && " + aLine);
  }

  /// All engines serve, the leases are taken and every member's table serial was heard.
  static bool IsSettled(const test_system& aSystem)
  {
    const auto status = aSystem.Status("entry-1");
    for (const auto& row : status.value("backend_servers", json::array())) {
      if (row.value("status", "") != "serving") {
        return false;
      }
    }
    for (const auto& row : status.value("members", json::array())) {
      if (row.value("table_serial", json{}) != status.value("table_serial", json{ 0 })) {
        return false;
      }
    }
    return status.value("documents", json::array()).size() == 3;
  }

  /// Compares the output with the shown lines; "..." stands for lines that are left out.
  static void AssertShown(const shown_command& aShown, const command_result& aResult)
  {
    const auto text = aShown.mCommand + "\n" + aResult.Text();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, aShown.mExit, aResult.mExit);
    std::size_t at = 0;
    bool skips = false;
    for (const auto& line : aShown.mLines) {
      if (line == "...") {
        skips = true;
        continue;
      }
      const auto wanted = FixedPart(line);
      while (skips && at < aResult.mLines.size() && FixedPart(aResult.mLines[at]) != wanted) {
        ++at;
      }
      skips = false;
      auto missing = text;
      missing.append("missing: ").append(line);
      CPPUNIT_ASSERT_MESSAGE(missing, at < aResult.mLines.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, wanted, FixedPart(aResult.mLines[at]));
      ++at;
    }
    while (at < aResult.mLines.size() && FixedPart(aResult.mLines[at]).empty()) {
      ++at;
    }
    CPPUNIT_ASSERT_MESSAGE("more lines than shown: " + text, skips || at == aResult.mLines.size());
  }

  /// Guards against a page whose commands fail or print something else.
  void CommandsOfThePageWorkAsShown()
  {
    test_system system;
    // An engine without traffic takes up to 30 s until it serves, a step each 5 s.
    CPPUNIT_ASSERT(WaitUntil([&] { return IsSettled(system); }, std::chrono::seconds{ 90 }));
    const auto commands = CommandsOfThePage();
    CPPUNIT_ASSERT(commands.size() >= 12);
    for (const auto& shown : commands) {
      if (shown.mCommand == "skylarkwind explain engine e2") {
        CPPUNIT_ASSERT(
          WaitUntil([&] { return system.EngineStatus("entry-1", "e2") == "drained"; }));
      }
      AssertShown(shown, RunShown(system, system.Platform().Address(), shown.mCommand));
      if (shown.mCommand == "skylarkwind table show > table.json") {
        std::ifstream in{ mDirectory / "table.json" };
        auto table = json::parse(in);
        table["engines"][0]["weight"] = 2; // the edit that the page describes
        std::ofstream{ mDirectory / "table.json" } << table.dump();
      }
    }
  }

  /// Guards against a check that stops at the first mistake, and against a bad table in force.
  void EveryBadRowIsReported()
  {
    test_system system;
    auto table = system.Table();
    table["services"][0]["kind"] = "odd";
    table["models"][0]["colour"] = 1;
    table["engines"][0]["weight"] = -1;
    table["engines"][1]["address"] = "nowhere";
    table["backends"][0]["service"] = "gone";
    std::string output;
    CPPUNIT_ASSERT_EQUAL(1, system.Apply(table, &output));
    for (const auto* part : { "services[0] stones: kind: must be one of model, plain",
                              "models[0] granite: colour: is not a known member",
                              "engines[0] e1: weight: must be above 0",
                              "engines[1] e2: address: must be ip:port",
                              "backends[0] t1: service: there is no service gone" }) {
      AssertHas(output, part);
    }
    CPPUNIT_ASSERT_EQUAL(1, system.Table().value("serial", 0));
  }

  /// Guards against an edit that silently undoes another operator's.
  void ARaceNamesTheRow()
  {
    test_system system;
    auto first = system.Table();
    auto second = first;
    first["engines"][0]["weight"] = 2;
    second["engines"][1]["weight"] = 3;
    CPPUNIT_ASSERT_EQUAL(0, system.Apply(first));
    std::string output;
    CPPUNIT_ASSERT_EQUAL(3, system.Apply(second, &output));
    AssertHas(output, "changed engines e1");
    CPPUNIT_ASSERT_EQUAL(2, system.Table().value("serial", 0));
  }

  /// Guards against views that anyone can read, and against attempts that nobody notices.
  void WrongCredentialsAreRefusedAndCounted()
  {
    test_system system;
    const auto refused = [&] {
      const auto text = Call("GET", system.Url("entry-1", "/metrics")).mBody;
      std::smatch match;
      const std::regex line{ "\nskylarkwind_operator_refused_total (\\d+)\n" };
      CPPUNIT_ASSERT(std::regex_search(text, match, line));
      return std::stoi(match[1]);
    };
    CPPUNIT_ASSERT_EQUAL(0, refused());
    const auto result = RunShown(system, system.Platform().Address(), "skylarkwind status", "bad");
    CPPUNIT_ASSERT_EQUAL(1, result.mExit);
    AssertHas(result.Text(), "answered 401");
    int count = 1;
    for (const auto* path :
         { "/admin/status", "/admin/table", "/admin/audit", "/admin/engine/e1" }) {
      const auto url = system.Url("entry-1", path);
      CPPUNIT_ASSERT_EQUAL(401, Call("GET", url).mStatus);
      CPPUNIT_ASSERT_EQUAL(401, Call("GET", url, { "Authorization: Bearer wrong" }).mStatus);
      count += 2;
    }
    CPPUNIT_ASSERT_EQUAL(count, refused());
  }

  /// Guards against a daemon that starts with half of its settings.
  void BadSettingsStartNothing()
  {
    const auto file = (mDirectory / "bad.yaml").string();
    std::ofstream{ file } << "vm: \"a b\"\nregion: r\nlinks: {address: 1.2.3.4, nope: 3}\n"
                             "lease: { term_ms: 3 }\n";
    for (const auto* flag : { " --check_settings", "" }) {
      const auto result =
        RunShell(std::string{ SKYLARKWIND_BIN_DIR } + "/skylarkwindd --settings=" + file + flag);
      CPPUNIT_ASSERT_EQUAL(2, result.mExit);
      for (const auto* part : { ":1: vm: expected",
                                ":3: links.address: expected",
                                ":3: links.nope: expected",
                                ":4: lease.term_ms: expected",
                                ": callers.address: expected" }) {
        AssertHas(result.Text(), file + part);
      }
      for (const auto& line : result.mLines) {
        CPPUNIT_ASSERT_MESSAGE(line, line.starts_with(file + ":")); // no line of a running daemon
      }
    }
  }

  /// Guards against paths that the balancer, the monitoring or callers need and that fail.
  void LocalPathsAnswer()
  {
    test_system system;
    for (const auto* path : { "/healthz", "/readyz", "/metrics" }) {
      CPPUNIT_ASSERT_EQUAL(200, Call("GET", system.Url("entry-2", path)).mStatus);
    }
    const auto models = Call("GET", system.Url("entry-2", "/v1/models"), system.CallerHeaders());
    CPPUNIT_ASSERT_EQUAL(200, models.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string{ "granite" },
                         json::parse(models.mBody)["data"][0].value("id", ""));
    const header_lines stranger{ "Authorization: Bearer stranger",
                                 "Content-Type: application/json" };
    CPPUNIT_ASSERT_EQUAL(401, Call("GET", system.Url("entry-2", "/v1/models"), stranger).mStatus);
    const auto refused = Call("POST",
                              system.Url("entry-2", "/v1/completions"),
                              stranger,
                              R"({"model":"granite","prompt":"a","max_tokens":1})");
    CPPUNIT_ASSERT_EQUAL(401, refused.mStatus);
    AssertHas(refused.mBody, "not run");
    CPPUNIT_ASSERT_EQUAL(200, system.Complete("entry-2", "a", 1).mStatus);
  }

  /// Guards against a restored platform to which no edit can be written any more.
  void AnEditFollowsARestoredPlatform()
  {
    test_system system;
    const auto object = system.Platform().Url("/v1/objects/table/current");
    const auto old = json::parse(Call("GET", object).mBody);
    auto table = system.Table();
    for (int weight = 2; weight <= 4; ++weight) {
      table["engines"][0]["weight"] = weight;
      CPPUNIT_ASSERT_EQUAL(0, system.Apply(table));
      table = system.Table();
    }
    const auto serial = [&](const char* aVm) {
      return system.Status(aVm).value("table_serial", 0);
    };
    CPPUNIT_ASSERT(WaitUntil([&] { return serial("entry-1") == 4 && serial("entry-2") == 4; }));

    const auto version = json::parse(Call("GET", object).mBody)["version"].dump();
    const auto put = Call("PUT", object, { "If-Match: " + version }, old["value"].dump());
    CPPUNIT_ASSERT_EQUAL(200, put.mStatus);
    std::string output;
    CPPUNIT_ASSERT_EQUAL(1, system.Apply(system.Table(), &output));
    AssertHas(output, "the platform's data is older");
    const auto platform = system.Platform().Address();
    for (const auto* line : { "skylarkwind table show --from_daemon > newest.json",
                              "skylarkwind --who=a --why=restored table apply newest.json" }) {
      const auto result = RunShown(system, platform, line);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(result.Text(), 0, result.mExit);
    }
    CPPUNIT_ASSERT_EQUAL(5, system.Table().value("serial", 0));
    CPPUNIT_ASSERT_EQUAL(4.0, system.Table()["engines"][0].value("weight", 0.0));
    CPPUNIT_ASSERT(WaitUntil([&] { return serial("entry-1") == 5 && serial("entry-2") == 5; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(commands_session_test);

} // namespace skylarkwind::sessions
