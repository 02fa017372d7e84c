package main

import (
	"bytes"
	"os"
	"time"

	"github.com/apex/log"

	"cardamomwick.example/daemon/settings"
)

// settingsPeriod is how often the settings file is looked at: it may change
// without a signal.
const settingsPeriod = 2 * time.Second

// reloadOnChange reads the settings again at each SIGHUP and whenever the file
// has other content.
func reloadOnChange(d instance, file string, hangUps <-chan os.Signal) {
	last, err := os.ReadFile(file)
	if err != nil {
		log.WithError(err).WithField("step", "read settings").Warn("changes are looked for all the same")
	}
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-hangUps:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(file)
		if err == nil && !signalled && bytes.Equal(data, last) {
			continue
		}
		last = data
		if err == nil {
			err = reload(d, file, data)
		}
		if err != nil {
			log.WithError(err).WithField("step", "reload settings").Error("the old settings stay")
		}
	}
}

func reload(d instance, file string, data []byte) error {
	s, err := settings.Parse(file, data)
	if err != nil {
		return err
	}
	logWarnings(s, file)
	return d.Reload(s)
}
