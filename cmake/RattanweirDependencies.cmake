# The libraries that the packages link against, each found once.
find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS log)
find_package(gflags REQUIRED)
find_package(yaml-cpp REQUIRED)
if(NOT RATTANWEIR_ONLY_PROGRAMS)
  find_package(Catch2 2.13 REQUIRED)
endif()
find_library(JSONCPP_LIBRARY jsoncpp REQUIRED)
find_path(JSONCPP_INCLUDE_DIR json/json.h PATH_SUFFIXES jsoncpp REQUIRED)
find_library(JSONRPC_COMMON_LIBRARY jsonrpccpp-common REQUIRED)
find_library(JSONRPC_CLIENT_LIBRARY jsonrpccpp-client REQUIRED)
find_library(JSONRPC_SERVER_LIBRARY jsonrpccpp-server REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)

add_library(rattanweir_boost_asio INTERFACE)
target_link_libraries(rattanweir_boost_asio INTERFACE Boost::headers
                                                      Threads::Threads)
target_compile_definitions(
  rattanweir_boost_asio INTERFACE BOOST_ASIO_NO_DEPRECATED
                                  BOOST_ASIO_DISABLE_CONCEPTS)
# g++ 12 warns wrongly about the allocator of some of Asio's coroutine frames.
target_compile_options(rattanweir_boost_asio
                       INTERFACE -Wno-mismatched-new-delete)

add_library(rattanweir_jsoncpp INTERFACE)
target_include_directories(rattanweir_jsoncpp SYSTEM
                           INTERFACE "${JSONCPP_INCLUDE_DIR}")
target_link_libraries(rattanweir_jsoncpp INTERFACE "${JSONCPP_LIBRARY}")

add_library(rattanweir_jsonrpccpp INTERFACE)
target_link_libraries(
  rattanweir_jsonrpccpp
  INTERFACE "${JSONRPC_SERVER_LIBRARY}" "${JSONRPC_CLIENT_LIBRARY}"
            "${JSONRPC_COMMON_LIBRARY}" rattanweir_jsoncpp)

find_path(MSGPACK_INCLUDE_DIR msgpack.hpp REQUIRED)
add_library(rattanweir_msgpack INTERFACE)
target_include_directories(rattanweir_msgpack SYSTEM
                           INTERFACE "${MSGPACK_INCLUDE_DIR}")
target_link_libraries(rattanweir_msgpack INTERFACE Boost::headers)

add_library(rattanweir_xxhash INTERFACE)
target_link_libraries(rattanweir_xxhash INTERFACE "${XXHASH_LIBRARY}")
