/**
 * @file vm_settings_test.cpp
 * Parsing of VM settings; errors name the place, the key and the allowed
 * values.
 */
#include "settings/vm_settings_base.h"

#include <gtest/gtest.h>

namespace waxwing {
namespace {

const std::string Minimal =
    "[vm]\nname = a\ndomain = d\n[store]\naddress = 127.0.0.1:1\n";

/// @return error message for the settings @p text
std::string errorOf(const std::string &text) {
  return std::string(parseVmSettings(text, "f.ini").status().message());
}

TEST(VmSettings, MissingKeysGetDefaults) {
  const auto settings = parseVmSettings(Minimal, "f.ini");
  ASSERT_TRUE(settings.ok());
  EXPECT_EQ(settings->Vm.text("region"), "main");
  EXPECT_EQ(settings->Store.duration("timeout"), milliseconds(500));
}

TEST(VmSettings, UnknownKeyIsRefused) {
  EXPECT_EQ(errorOf("[vm]\nnam = a\n"),
            "f.ini:2: [vm] unknown key 'nam'; allowed: name, domain, region");
}

TEST(VmSettings, ValueOutOfRangeIsRefused) {
  EXPECT_EQ(errorOf(Minimal + "timeout = 5\n"),
            "f.ini:6: [store] timeout = '5' is not allowed; expected a whole "
            "number from 10 to 60000 ms");
}

TEST(VmSettings, UnknownSectionWithoutKeysIsRefused) {
  EXPECT_EQ(errorOf(Minimal + "[stor]\n"),
            "f.ini:6: unknown section [stor]; allowed: vm, store, router, "
            "controller, ownership, log");
}

TEST(VmSettings, MissingMandatoryKeyIsRefused) {
  EXPECT_EQ(errorOf("[vm]\nname = a\ndomain = d\n"),
            "f.ini: [store] is missing key 'address'; expected IP:port");
}

TEST(VmSettings, DuplicateKeyIsRefused) {
  EXPECT_EQ(
      errorOf("[vm]\nname = a\nname = b\n"),
      "f.ini:3: key 'name' is defined twice in section [vm], first in line "
      "2");
}

TEST(VmSettings, IndentedLinesContinueAValue) {
  const auto settings = parseVmSettings(
      "[vm]\nname = a\ndomain = d\nregion =\n  b\n  c\n[store]\naddress = "
      "127.0.0.1:1\n",
      "f.ini");
  ASSERT_TRUE(settings.ok());
  EXPECT_EQ(settings->Vm.text("region"), "b c");
}

TEST(VmSettings, OverlongLineIsRefused) {
  EXPECT_EQ(errorOf("[vm]\nname = " + std::string(250, 'a') + "\n"),
            "f.ini:2: line has 258 characters, at most 199 are allowed; "
            "continue a value on indented lines");
}

} // namespace
} // namespace waxwing
