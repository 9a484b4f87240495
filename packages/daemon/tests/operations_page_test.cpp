#include "skylarkwind/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>

namespace skylarkwind {

/// Compares docs/OPERATIONS.md with the program.
class operations_page_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(operations_page_test);
  CPPUNIT_TEST(ListsEverySetting);
  CPPUNIT_TEST(ListsEveryMemberOfTheTable);
  CPPUNIT_TEST(ListsEveryCounter);
  CPPUNIT_TEST_SUITE_END();

  using names = std::set<std::string>;

  static std::string Read(const std::filesystem::path& aFile)
  {
    std::ifstream in{ aFile };
    CPPUNIT_ASSERT_MESSAGE(aFile.string(), in.good());
    return { std::istreambuf_iterator<char>{ in }, {} };
  }

  static std::filesystem::path Source(const std::string& aPath)
  {
    return std::filesystem::path{ SKYLARKWIND_SOURCE_DIR } / aPath;
  }

  /// The text between a heading of the page and the next heading of any level.
  static std::string Section(const std::string& aHeading)
  {
    const auto page = Read(Source("docs/OPERATIONS.md"));
    const auto start = page.find("\n" + aHeading + "\n");
    CPPUNIT_ASSERT_MESSAGE(aHeading, start != std::string::npos);
    const auto text = page.substr(start + aHeading.size() + 2);
    return text.substr(0, text.find("\n#"));
  }

  /// The first group of every match.
  static names Matches(const std::string& aText, const std::string& aPattern)
  {
    const std::regex pattern{ aPattern };
    names found;
    for (std::sregex_iterator match{ aText.begin(), aText.end(), pattern }, end; match != end;
         ++match) {
      found.insert((*match)[1]);
    }
    return found;
  }

  static void AssertSame(const std::string& aWhat, const names& aProgram, const names& aPage)
  {
    CPPUNIT_ASSERT_MESSAGE(aWhat, !aProgram.empty());
    for (const auto& name : aProgram) {
      CPPUNIT_ASSERT_MESSAGE("the page lacks " + name, aPage.contains(name));
    }
    for (const auto& name : aPage) {
      CPPUNIT_ASSERT_MESSAGE("the program does not know " + name, aProgram.contains(name));
    }
  }

  /// First cells of the rows of a section's table.
  static names FirstCells(const std::string& aHeading)
  {
    return Matches(Section(aHeading), "\n\\| `([^`]*)` \\|");
  }

  /// Guards against a settings reference that differs from what the daemon reads.
  void ListsEverySetting()
  {
    const auto section = Section("## Settings");
    names known;
    for (const auto& setting : DescribeSettings()) {
      known.insert(setting.mKey);
      const auto row = "| `" + setting.mKey + "` | " + setting.mExpected + " | " + setting.mHelp +
                       " | " + (setting.mRequired ? "yes" : "no") + " |\n";
      CPPUNIT_ASSERT_MESSAGE("missing: " + row, (section + "\n").find(row) != std::string::npos);
    }
    AssertSame("settings", known, FirstCells("## Settings"));
  }

  /// Guards against a table reference that lacks a member or names one that is refused.
  void ListsEveryMemberOfTheTable()
  {
    const auto source = Read(Source("packages/core/src/table_json.cpp"));
    const std::string member = "aReader\\.\\w+\\(\\s*\"(\\w+)\"";
    const auto body = [&](const std::string& aHead) {
      const auto start = source.find(aHead);
      CPPUNIT_ASSERT_MESSAGE(aHead, start != std::string::npos);
      return source.substr(start, source.find("\n}\n", start) - start);
    };
    const auto limits = Matches(body("ReadLimits(row_reader& aReader"), member);
    for (const std::string kind : { "service", "model", "role", "account", "engine", "backend" }) {
      const auto text = body("ReadRow(row_reader& aReader, " + kind + "_row& aRow)");
      auto accepted = Matches(text, member);
      if (text.find("ReadLimits(") != std::string::npos) {
        accepted.insert(limits.begin(), limits.end());
      }
      AssertSame(kind, accepted, FirstCells("### " + kind + "s"));
    }
  }

  /// Guards against a counter that no operator can look up, and against alarms on names that no
  /// daemon has.
  void ListsEveryCounter()
  {
    names known;
    for (const auto& package : std::filesystem::directory_iterator{ Source("packages") }) {
      for (const auto& file : std::filesystem::directory_iterator{ package.path() / "src" }) {
        known.merge(Matches(Read(file.path()), "\"(skylarkwind_[a-z_]+)\""));
      }
    }
    AssertSame("counters", known, FirstCells("## Counters"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operations_page_test);

} // namespace skylarkwind
