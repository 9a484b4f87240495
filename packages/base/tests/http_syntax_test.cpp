#include "skylarkwind/http_syntax.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <limits>
#include <string>

namespace skylarkwind {

/// Parts of HTTP messages that tell where a message ends.
class http_syntax_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(http_syntax_test);
  CPPUNIT_TEST(LengthsAreDecimalDigits);
  CPPUNIT_TEST(ChunkSizesAreHexadecimalDigits);
  CPPUNIT_TEST(FieldLinesHaveANameAndAValue);
  CPPUNIT_TEST(BlanksBeforeAColonAreRemovedOnDemand);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against lengths that count modulo 2^64, e.g. -18446744073709551611 as 5.
  void LengthsAreDecimalDigits()
  {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, ParseContentLength("0").value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 5 }, ParseContentLength("0005").value());
    CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::uint64_t>::max(),
                         ParseContentLength("18446744073709551615").value());
    for (const auto* text :
         { "", " ", "-1", "+5", "5 ", " 5", "5,5", "5;", "0x5", "5e0", "-18446744073709551611" }) {
      CPPUNIT_ASSERT_MESSAGE(text, absl::IsInvalidArgument(ParseContentLength(text).status()));
    }
    CPPUNIT_ASSERT(absl::IsOutOfRange(ParseContentLength("18446744073709551616").status()));
  }

  /// Guards against sizes that count modulo 2^64, e.g. 10000000000000000 as 0.
  void ChunkSizesAreHexadecimalDigits()
  {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, ParseChunkSize("0").value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0xaa5 }, ParseChunkSize("00000000000000000aA5").value());
    for (const auto* text :
         { "a;b", "a;b=c", "a ; b = \"c;d\"", "A\t;b;c=d", "a;", "00a;b=\xc3\xa9" }) {
      const auto size = ParseChunkSize(text);
      CPPUNIT_ASSERT_MESSAGE(text, size.ok());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::uint64_t{ 10 }, *size);
    }
    for (const auto* text : { "",
                              " ",
                              ";a",
                              " a",
                              "a ",
                              "a b",
                              "-1",
                              "+1",
                              "0x1",
                              "g",
                              "a\r",
                              "a;b\rc",
                              "a;\nb",
                              "a,b" }) {
      CPPUNIT_ASSERT_MESSAGE(text, absl::IsInvalidArgument(ParseChunkSize(text).status()));
    }
    for (const auto* text : { "10000000000000000", "ffffffffffffffff5", "10000000000000000;a" }) {
      CPPUNIT_ASSERT_MESSAGE(text, absl::IsOutOfRange(ParseChunkSize(text).status()));
    }
  }

  /// Guards against lines that some recipients take for another header than others do.
  void FieldLinesHaveANameAndAValue()
  {
    for (const auto* text : { "Name:value", "Name: value", "Name:\t value \t" }) {
      const auto field = ParseFieldLine(text);
      CPPUNIT_ASSERT_MESSAGE(text, field.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string{ "Name" }, std::string{ field->mName });
      CPPUNIT_ASSERT_EQUAL(std::string{ "value" }, std::string{ field->mValue });
    }
    CPPUNIT_ASSERT(ParseFieldLine("Name:")->mValue.empty());
    for (const auto* text :
         { "", "Name", ":value", "Name : value", " Name: value", "Na me: value", "Name: a\rb" }) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseFieldLine(text));
    }
    CPPUNIT_ASSERT(!ParseFieldLine(std::string_view{ "Name: a\0b", 9 }));
  }

  void BlanksBeforeAColonAreRemovedOnDemand()
  {
    const auto field = ParseFieldLine("Name \t: value", blanks_before_colon::Removed);
    CPPUNIT_ASSERT(field.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string{ "Name" }, std::string{ field->mName });
    CPPUNIT_ASSERT(!ParseFieldLine(" : value", blanks_before_colon::Removed));
    CPPUNIT_ASSERT(!ParseFieldLine(" Name: value", blanks_before_colon::Removed));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_syntax_test);

} // namespace skylarkwind
