package main

import (
	"bytes"
	"os"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/daemon/settings"
)

// settingsPollInterval is how often the settings file is checked for changes, since it may
// change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// reloadOnChange reloads the settings on each SIGHUP and whenever the content of the file has
// changed.
func reloadOnChange(d instance, file string, hangups <-chan os.Signal) {
	last, err := os.ReadFile(file)
	if err != nil {
		log.WithError(err).WithField("step", "read settings").Warn("the settings file can't be read; checking for changes continues")
	}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		hangup := false
		select {
		case <-hangups:
			hangup = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(file)
		if err == nil && !hangup && bytes.Equal(data, last) {
			continue
		}
		last = data
		if err == nil {
			err = reload(d, file, data)
		}
		if err != nil {
			log.WithError(err).WithField("step", "reload settings").Error("reload failed; the previous settings stay in force")
		}
	}
}

// reload parses the settings and applies those that may change at run time.
func reload(d instance, file string, data []byte) error {
	s, err := settings.Parse(file, data)
	if err != nil {
		return err
	}
	logWarnings(s, file)
	return d.Reload(s)
}
