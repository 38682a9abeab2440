# Helpers that declare the targets of one package.

add_library(rattanweir_options INTERFACE)
target_include_directories(rattanweir_options INTERFACE "${CMAKE_SOURCE_DIR}")
target_compile_options(
  rattanweir_options INTERFACE -Wall -Wextra -Wno-missing-field-initializers)
if(RATTANWEIR_WARNINGS_AS_ERRORS)
  target_compile_options(rattanweir_options INTERFACE -Werror)
endif()

# rattanweir_library(NAME base_ids SOURCES a.cc HEADERS a.h DEPS x y)
# declares the static library rattanweir_<NAME>. Without SOURCES it is an
# interface library.
function(rattanweir_library)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;HEADERS;DEPS" ${ARGN})
  set(target "rattanweir_${ARG_NAME}")
  if(ARG_SOURCES)
    add_library(${target} STATIC ${ARG_SOURCES} ${ARG_HEADERS})
    target_link_libraries(${target} PUBLIC rattanweir_options ${ARG_DEPS})
  else()
    add_library(${target} INTERFACE ${ARG_HEADERS})
    target_link_libraries(${target} INTERFACE rattanweir_options ${ARG_DEPS})
  endif()
endfunction()

# rattanweir_test(NAME base_ids_test SOURCES a_test.cc DEPS x) declares one
# Catch2 program and the ctest entry of the same name.
function(rattanweir_test)
  cmake_parse_arguments(ARG "" "NAME;TIMEOUT" "SOURCES;DEPS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  add_executable(${ARG_NAME} ${ARG_SOURCES})
  target_link_libraries(${ARG_NAME} PRIVATE rattanweir_options
                                            rattanweir_catch_main ${ARG_DEPS})
  if(RATTANWEIR_ONLY_PROGRAMS)
    set_target_properties(${ARG_NAME} PROPERTIES EXCLUDE_FROM_ALL ON)
    return()
  endif()
  add_test(NAME ${ARG_NAME} COMMAND ${ARG_NAME})
  set_tests_properties(${ARG_NAME} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()

# rattanweir_program(NAME rattanweird SOURCES main.cc DEPS x) declares one
# executable.
function(rattanweir_program)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPS" ${ARGN})
  add_executable(${ARG_NAME} ${ARG_SOURCES})
  target_link_libraries(${ARG_NAME} PRIVATE rattanweir_options ${ARG_DEPS})
endfunction()
