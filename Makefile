# `make demo` and `make check` do all that they need, packages included.
BUILD ?= build

.PHONY: all setup build check demo format format-check lint bench clean generate

all: build

setup:
	@bash utils/install_packages.sh

build: setup
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@ninja -C $(BUILD)

check: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: build
	@BUILD=$(BUILD) bash utils/demo.sh

# Regenerates the committed code; needs the package flatbuffers-compiler.
generate:
	@flatc --cpp -o generated lib/Wire/peer.fbs lib/Records/records.fbs

format:
	@bash utils/sources.sh | xargs clang-format -i

format-check:
	@bash utils/sources.sh | xargs clang-format --dry-run -Werror

lint: build
	@bash utils/sources.sh | grep '\.cc$$' | xargs -P $$(nproc) -n 3 \
	  clang-tidy --quiet -p $(BUILD)

bench: build
	@$(BUILD)/benchmarks/core_benchmark
	@$(BUILD)/benchmarks/fleet_scale

clean:
	@rm -rf $(BUILD)
