package proof

// cutPeers lets no datagram pass between two entry VMs.
func (f *fleet) cutPeers(a, b *entryVM) { f.setPeers(a, b, true) }

func (f *fleet) mendPeers(a, b *entryVM) { f.setPeers(a, b, false) }

func (f *fleet) setPeers(a, b *entryVM, cut bool) {
	a.peerLink.setCut(b.ip, cut)
	b.peerLink.setCut(a.ip, cut)
}

// cutDomain cuts all entry VMs of a failure domain off from those of others.
func (f *fleet) cutDomain(domain string, cut bool) {
	for _, a := range f.entries {
		for _, b := range f.entries {
			if a.domain == domain && b.domain != domain {
				f.setPeers(a, b, cut)
			}
		}
	}
}

// cutPlatform closes an entry VM's connections to the platform and refuses new ones.
func (f *fleet) cutPlatform(vm *entryVM) {
	for _, link := range vm.platform {
		link.cut.Store(true)
		link.drop()
	}
}

func (f *fleet) mendPlatform(vm *entryVM) {
	for _, link := range vm.platform {
		link.cut.Store(false)
	}
}

// silencePlatform lets an entry VM's open connections to the platform go silent for good.
func (f *fleet) silencePlatform(vm *entryVM) {
	for _, link := range vm.platform {
		link.silence()
	}
}

// silenceTarget lets the open connections to a target go silent for good. It needs targetLinks.
func (f *fleet) silenceTarget(number int) { f.targetLinks[number].silence() }
