BUILD ?= build

.PHONY: all packages build demo golden soak test clean

all: build

packages:
	sh scripts/install-packages.sh

build: packages
	test -f $(BUILD)/build.ninja || meson setup $(BUILD) >/dev/null
	ninja -C $(BUILD)

demo: build
	sh scripts/demo.sh $(BUILD)

soak: build
	sh scripts/soak.sh $(BUILD)

test: build
	sh scripts/run-tests.sh $(BUILD)

golden: build
	$(BUILD)/tests/golden_test --update

clean:
	rm -rf $(BUILD)
