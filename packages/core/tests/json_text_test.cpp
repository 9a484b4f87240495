#include "skylarkwind/json_text.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>

namespace skylarkwind {

class json_text_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(json_text_test);
  CPPUNIT_TEST(DepthOfUntrustedTextsIsBounded);
  CPPUNIT_TEST(InvalidTextsAreDiscarded);
  CPPUNIT_TEST(ElementsAreSplitAtAnyDepth);
  CPPUNIT_TEST(MembersAreSplit);
  CPPUNIT_TEST(MalformedTextsAreNotSplit);
  CPPUNIT_TEST(SplitAgreesWithParser);
  CPPUNIT_TEST_SUITE_END();

  static std::string Nested(std::size_t aDepth)
  {
    return std::string(aDepth, '[') + std::string(aDepth, ']');
  }

  /// Guards against texts whose parsed value overflows the call stack when it is copied.
  void DepthOfUntrustedTextsIsBounded()
  {
    CPPUNIT_ASSERT(ParseUntrustedJson(Nested(kMaxJsonDepth)).is_array());
    CPPUNIT_ASSERT(ParseUntrustedJson(Nested(kMaxJsonDepth + 1)).is_discarded());
    CPPUNIT_ASSERT(ParseUntrustedJson(Nested(500'000)).is_discarded());
    CPPUNIT_ASSERT(ParseUntrustedJson(std::string(1'000'000, '[')).is_discarded());
    // Brackets in a string are text.
    CPPUNIT_ASSERT(ParseUntrustedJson('"' + std::string(1'000, '[') + '"').is_string());
  }

  void InvalidTextsAreDiscarded()
  {
    for (const auto* text :
         { "", " ", "[", "]", "{]", "[1,]", "1 2", "1,2", "\"", "\"\\", "1e999", "\"\xff\"" }) {
      CPPUNIT_ASSERT_MESSAGE(text, ParseUntrustedJson(text).is_discarded());
    }
  }

  void ElementsAreSplitAtAnyDepth()
  {
    const auto deep = Nested(500'000);
    const auto text = " [ 1 , {\"a\":[\"]\\\"\"]},\"x,y\" ," + deep + " ] ";
    const auto elements = SplitJsonArray(text);
    CPPUNIT_ASSERT(elements.has_value());
    const std::vector<std::string_view> expected{ "1", "{\"a\":[\"]\\\"\"]}", "\"x,y\"", deep };
    CPPUNIT_ASSERT(*elements == expected);
    CPPUNIT_ASSERT(SplitJsonArray("[ ]").value().empty());
  }

  void MembersAreSplit()
  {
    const auto members = SplitJsonObject("{ \"a\" : 1e999 , \"b\":[1,2] , \"\" : {} }");
    CPPUNIT_ASSERT(members.has_value());
    const std::vector<std::pair<std::string_view, std::string_view>> expected{ { "a", "1e999" },
                                                                               { "b", "[1,2]" },
                                                                               { "", "{}" } };
    CPPUNIT_ASSERT(*members == expected);
    CPPUNIT_ASSERT(SplitJsonObject("{}").value().empty());
  }

  /// Guards against taking a response that was cut off for a complete one.
  void MalformedTextsAreNotSplit()
  {
    for (const auto* text :
         { "", "1", "{}", "[", "[1", "[1,", "[1,]", "[[]", "[{]}]", "[\"]", "[1] 2" }) {
      CPPUNIT_ASSERT_MESSAGE(text, !SplitJsonArray(text));
    }
    for (const auto* text :
         { "", "[]", "{", "{\"a\"", "{\"a\":", "{\"a\":1", "{\"a\":}", "{\"a\":1,}", "{1:2}" }) {
      CPPUNIT_ASSERT_MESSAGE(text, !SplitJsonObject(text));
    }
  }

  /// Any text is either split or refused, and a valid one is split as the JSON library parses it.
  void SplitAgreesWithParser()
  {
    const bool holds = rc::check("split agrees with the parser", [] {
      const auto text =
        *rc::gen::container<std::string>(rc::gen::elementOf(std::string{ "[[]]{}\"\\:,,1a " }));
      const auto parsed = nlohmann::json::parse(text, nullptr, false);
      const auto elements = SplitJsonArray(text);
      const auto members = SplitJsonObject(text);
      if (parsed.is_array()) {
        RC_ASSERT(elements.has_value());
        RC_ASSERT(elements->size() == parsed.size());
        for (std::size_t i = 0; i < parsed.size(); ++i) {
          RC_ASSERT(nlohmann::json::parse(elements->at(i), nullptr, false) == parsed.at(i));
        }
      }
      if (parsed.is_object()) {
        RC_ASSERT(members.has_value());
      }
      RC_ASSERT(ParseUntrustedJson(text).is_discarded() == parsed.is_discarded());
    });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(json_text_test);

} // namespace skylarkwind
